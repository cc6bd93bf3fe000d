package platform

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/objectapi"
	"github.com/pathtally/pathtally/internal/standalone/standin/answer"
	"github.com/pathtally/pathtally/internal/standalone/standin/objects"
)

func (s *Server) get(ctx *fasthttp.RequestCtx, name string) {
	s.gets.Add(1)
	object, found := s.store.Get(name)
	if !found {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	answer.JSON(ctx, objectapi.ObjectBody(object))
}

func (s *Server) put(ctx *fasthttp.RequestCtx, name string) {
	s.puts.Add(1)
	ifVersion, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(objectapi.ParamIfVersion)), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	data := append([]byte(nil), ctx.PostBody()...)
	object, written := s.store.Put(name, data, ifVersion)
	if !written {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	if s.loseAnswer() {
		// The write stands, but whoever made it gets no answer.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	answer.JSON(ctx, objectapi.ObjectBody(object))
}

func (s *Server) loseAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.switches.LoseAnswers == 0 {
		return false
	}
	s.switches.LoseAnswers--
	return true
}

func (s *Server) watch(ctx *fasthttp.RequestCtx) {
	s.watches.Add(1)
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(objectapi.ParamFrom)), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	names := strings.Split(string(ctx.QueryArgs().Peek(objectapi.ParamNames)), ",")
	waitMs := ctx.QueryArgs().GetUintOrZero(objectapi.ParamWaitMs)
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		changed := s.store.Changed()
		found, next, reaches := s.store.Since(names, from)
		if !reaches {
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		if len(found) > 0 {
			s.writeWatch(ctx, found, next)
			return
		}
		select {
		case <-changed:
		case <-s.closed:
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		case <-timer.C:
			s.writeWatch(ctx, nil, next)
			return
		}
	}
}

func (s *Server) writeWatch(ctx *fasthttp.RequestCtx, found []objects.Object, next uint64) {
	s.mutex.Lock()
	outage := s.switches.Outage
	s.mutex.Unlock()
	if outage {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body := objectapi.WatchBody{Next: next}
	for _, object := range found {
		body.Objects = append(body.Objects, objectapi.ObjectBody(object))
	}
	answer.JSON(ctx, body)
}
