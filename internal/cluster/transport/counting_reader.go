package transport

import "net"

// countingReader counts the bytes read from a connection.
type countingReader struct {
	connection net.Conn
	counts     *Counts
}

// Read implements io.Reader.
func (r countingReader) Read(buffer []byte) (int, error) {
	count, err := r.connection.Read(buffer)
	r.counts.BytesReceived.Add(int64(count))
	return count, err
}
