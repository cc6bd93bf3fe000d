package httpconn

// readerFunc is a function that implements io.Reader.
type readerFunc func(buffer []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(buffer []byte) (int, error) { return f(buffer) }
