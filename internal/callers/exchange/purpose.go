package exchange

// Purpose is what a request is for, as a label of the metrics.
type Purpose string

// The purposes of requests.
const (
	// PurposeLive is the request of a caller.
	PurposeLive Purpose = "live"
	// PurposeItem is an item of a batch job, and PurposeScorer the call of its scorer.
	PurposeItem   Purpose = "item"
	PurposeScorer Purpose = "scorer"
	// PurposeReport asks a replica for its weights, and PurposeOrder orders others.
	PurposeReport Purpose = "report"
	PurposeOrder  Purpose = "order"
	// PurposeProbe checks whether a replica has ended under a run.
	PurposeProbe Purpose = "probe"
)

// Or returns the purpose, or another one if it is empty.
func (p Purpose) Or(other Purpose) Purpose {
	if p == "" {
		return other
	}
	return p
}
