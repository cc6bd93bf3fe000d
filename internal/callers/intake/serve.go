package intake

import (
	"context"
	"net"
	"net/http"
)

// connectionKey is the key of the Connection in the context of a request.
type connectionKey struct{}

// Prepare makes a server tell its listener about the progress of requests. It must be called before
// the server is started.
func Prepare(server *http.Server) {
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if accepted, known := connection.(*Connection); known && state == http.StateIdle {
			accepted.idle()
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection, known := request.Context().Value(connectionKey{}).(*Connection)
		if !known {
			handler.ServeHTTP(writer, request)
			return
		}
		connection.begin()
		defer connection.end()
		handler.ServeHTTP(writer, request)
	})
}

// Received records that the request of a context has been read completely.
func Received(ctx context.Context) {
	if connection, known := ctx.Value(connectionKey{}).(*Connection); known {
		connection.received()
	}
}
