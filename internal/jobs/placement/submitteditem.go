package placement

// SubmittedItem is an item as the caller submitted it.
type SubmittedItem struct {
	ID    string
	Group string
	// ExpectedTokens is the caller's estimate of the length of the text, 0 for none.
	ExpectedTokens float64
}
