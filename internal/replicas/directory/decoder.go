package directory

// Decoder decodes the objects of the platform. It returns an error for an object that cannot
// be decoded.
type Decoder interface {
	Configuration(spec []byte) (*Configuration, error)
	Replica(name string, spec []byte) (*Replica, error)
	// Version decodes a weight version that a trainer has published.
	Version(spec []byte) (model string, version int64, err error)
}
