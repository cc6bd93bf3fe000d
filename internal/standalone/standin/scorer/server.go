package scorer

import (
	"encoding/json"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	protocol "github.com/pathtally/pathtally/internal/standalone/scorer"
)

// scoreSteps is how many different scores there are.
const scoreSteps = 1000

// Server is a running scorer.
type Server struct {
	server  *fasthttp.Server
	address string
	delay   time.Duration
}

// Start listens on an address; port 0 lets the system choose.
func Start(address string, delay time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	scorer := &Server{address: listener.Addr().String(), delay: delay}
	scorer.server = &fasthttp.Server{Handler: scorer.handle, NoDefaultServerHeader: true, CloseOnShutdown: true}
	go func() { _ = scorer.server.Serve(listener) }()
	return scorer, nil
}

// Address is where the scorer listens.
func (s *Server) Address() string { return s.address }

// Close ends the scorer.
func (s *Server) Close() { _ = s.server.Shutdown() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	time.Sleep(s.delay)
	score := float64(xxhash.Sum64(ctx.PostBody())%scoreSteps) / scoreSteps
	data, err := json.Marshal(protocol.ScoreBody{Score: score})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
