package rollout

// prediction is a waiting slot with the length expected of it in tokens.
type prediction struct {
	slot   uint32
	tokens float64
	// sample is the place among the samples of the slot's prompt. The first
	// ones show how long the others will be.
	sample int
}
