package engine

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	protocol "github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/standin/answer"
)

// Drain refuses new work and, after the grace, hands every stream over.
func (s *Server) Drain(grace time.Duration) {
	s.mutex.Lock()
	s.model.SetDraining(true)
	s.lagUntil = time.Time{}
	s.mutex.Unlock()
	limit := time.Now().Add(grace)
	for time.Now().Before(limit) && s.open() > 0 {
		time.Sleep(statusLag / 10)
	}
	s.mutex.Lock()
	for _, id := range s.model.IDs() {
		s.export(id)
	}
	s.mutex.Unlock()
	s.signal()
	for range 100 {
		if s.open() == 0 {
			return
		}
		time.Sleep(statusLag / 10)
	}
}

func (s *Server) open() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.streams)
}

// export takes a sequence out of the batch, keeps it for whoever imports it,
// and ends its stream with the place where it is kept.
func (s *Server) export(id string) {
	sequence, found := s.model.Export(id)
	s.distribute()
	stream := s.streams[id]
	if !found || stream == nil {
		return
	}
	delete(s.streams, id)
	s.exports[id] = sequence
	stream.move(s.address, id)
}

// handOver gives an exported sequence to the engine that asks for it, once.
func (s *Server) handOver(ctx *fasthttp.RequestCtx) {
	handle := string(ctx.QueryArgs().Peek("handle"))
	s.mutex.Lock()
	_, found := s.exports[handle]
	delete(s.exports, handle)
	s.mutex.Unlock()
	if !found {
		refuse(ctx, fasthttp.StatusNotFound, "no such export", 0)
		return
	}
	answer.JSON(ctx, struct{}{})
}

func (s *Server) cancel(id string) {
	s.model.Cancel(id)
	s.distribute()
	if stream := s.streams[id]; stream != nil {
		delete(s.streams, id)
		stream.abort()
	}
}

func (s *Server) named(ctx *fasthttp.RequestCtx, act func(string)) {
	var body protocol.NameBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error(), 0)
		return
	}
	s.mutex.Lock()
	act(body.ID)
	s.mutex.Unlock()
	s.signal()
}
