package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	protocol "github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/standin/answer"
)

const weightTimeout = 30 * time.Second

// order carries out a fenced instruction and answers with the status.
func (s *Server) order(ctx *fasthttp.RequestCtx) {
	var order protocol.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error(), 0)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if order.Token < s.tokens[order.Scope] {
		refuse(ctx, fasthttp.StatusConflict, fmt.Sprintf("token %d is older than %d", order.Token, s.tokens[order.Scope]), 0)
		return
	}
	s.tokens[order.Scope] = order.Token
	if reason := s.carryOut(order); reason != "" {
		refuse(ctx, fasthttp.StatusConflict, reason, 0)
		return
	}
	s.signal()
	answer.JSON(ctx, s.status())
}

func (s *Server) carryOut(order protocol.Order) string {
	switch order.Action {
	case protocol.ActionStage:
		go s.stage(order.Version)
	case protocol.ActionActivate:
		if order.Version > s.staged {
			return fmt.Sprintf("version %d is not staged", order.Version)
		}
		if s.faults.FailSwap > 0 {
			s.faults.FailSwap--
			return ""
		}
		s.model.Activate(time.Now(), order.Version)
		s.distribute()
	case protocol.ActionDrain:
		go s.Drain(0)
	case protocol.ActionRole, protocol.ActionAdapter:
	default:
		return "unknown action " + string(order.Action)
	}
	return ""
}

// stage loads weights at the rate of the store.
func (s *Server) stage(version int64) {
	if s.config.WeightStore != "" {
		status, _, err := s.client.GetTimeout(nil, fmt.Sprintf("http://%s/weights/%d", s.config.WeightStore, version), weightTimeout)
		if err != nil || status != fasthttp.StatusOK {
			return
		}
	}
	time.Sleep(s.config.Parameters.WeightLoad.Std())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.staged = max(s.staged, version)
}
