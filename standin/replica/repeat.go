package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// repeatingListener accepts connections on which a response can be repeated.
type repeatingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l repeatingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConnection{Conn: accepted}, nil
}

// repeatingConnection writes a surplus response before the next one.
type repeatingConnection struct {
	net.Conn
	mutex   sync.Mutex
	surplus []byte
}

// Write implements net.Conn.
func (c *repeatingConnection) Write(data []byte) (int, error) {
	c.mutex.Lock()
	surplus := c.surplus
	c.surplus = nil
	c.mutex.Unlock()
	if len(surplus) > 0 {
		if _, err := c.Conn.Write(surplus); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// repeat makes the connection write a response before the next one.
func (c *repeatingConnection) repeat(response string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.surplus = []byte(response)
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// withConnection is the ConnContext of the server.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// reject refuses a request. If again is set, the response is repeated later.
func reject(writer http.ResponseWriter, request *http.Request, again bool) {
	id := request.Header.Get("Pathtally-Request-Id")
	writer.Header().Set("Pathtally-Not-Executed", "1")
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(http.StatusServiceUnavailable)
	connection, repeats := request.Context().Value(connectionKey{}).(*repeatingConnection)
	if !again || !repeats || http.NewResponseController(writer).Flush() != nil {
		return
	}
	connection.repeat(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nPathtally-Request-Id: %s\r\nPathtally-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id))
}
