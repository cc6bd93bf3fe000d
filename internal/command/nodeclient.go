package command

import (
	"net"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/httpconn"
)

// nodeClient sends requests to nodes.
var nodeClient = &fasthttp.Client{
	Dial: httpconn.Dial(func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, statusTimeout) }),
}
