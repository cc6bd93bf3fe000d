package objectstore

// Page is a part of a listing.
type Page struct {
	Objects []Object
	// More reports that the listing continues after the last name of this page.
	More bool
	// Revision is the store revision of the page.
	Revision uint64
}
