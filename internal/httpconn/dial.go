package httpconn

import (
	"net"

	"github.com/valyala/fasthttp"
)

// Dial returns a function that opens connections with dial, on which heads that are invalid are errors.
// The connections are for clients of fasthttp over TCP without TLS.
func Dial(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		opened, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: opened}, nil
	}
}
