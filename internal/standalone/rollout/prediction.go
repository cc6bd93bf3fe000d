package rollout

// prediction is a pending slot with its predicted length in tokens.
type prediction struct {
	slot   uint32
	tokens float64
	// sample is the index among the samples of the slot's prompt. The lengths
	// of the first samples help predict those of the others.
	sample int
}
