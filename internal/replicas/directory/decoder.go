package directory

// Decoder reads the platform's objects. Its errors are those of objects that cannot be
// read.
type Decoder interface {
	Configuration(spec []byte) (*Configuration, error)
	Replica(name string, spec []byte) (*Replica, error)
	// Version reads a weight version that a trainer has named.
	Version(spec []byte) (model string, version int64, err error)
}
