package exchange

// Purpose says what a request is for. It is a label of the metrics.
type Purpose string

const (
	// PurposeLive is a request of a caller.
	PurposeLive Purpose = "live"
	// PurposeItem is an item of a batch job, PurposeScorer a call of its scorer.
	PurposeItem   Purpose = "item"
	PurposeScorer Purpose = "scorer"
	// PurposeReport queries the weights of a replica, PurposeOrder orders it to load
	// others.
	PurposeReport Purpose = "report"
	PurposeOrder  Purpose = "order"
	// PurposeProbe checks whether a replica has crashed while it ran a request.
	PurposeProbe Purpose = "probe"
)

// Or returns the purpose, or other if it is empty.
func (p Purpose) Or(other Purpose) Purpose {
	if p == "" {
		return other
	}
	return p
}
