package placement

// SubmittedItem is an item as its job was submitted.
type SubmittedItem struct {
	ID    string
	Group string
	// ExpectedTokens is the caller's estimate of the answer's length, 0 for none.
	ExpectedTokens float64
}
