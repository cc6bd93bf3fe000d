package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	protocol "github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
)

// complete admits a request and streams its answer.
func (s *Server) complete(ctx *fasthttp.RequestCtx) {
	var body protocol.CompletionBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error(), 0)
		return
	}
	now := time.Now()
	if body.DeadlineMillis > 0 && now.UnixMilli() > body.DeadlineMillis {
		refuse(ctx, fasthttp.StatusGatewayTimeout, "deadline passed", 0)
		return
	}
	imported := body.KVHandle != "" && s.fetchExport(body.KVSource, body.KVHandle)
	stream, reason := s.admit(now, body, imported)
	if stream == nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, reason.Error(), fullComeBack)
		return
	}
	s.signal()
	if stream.loseAdmission {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		if !stream.write(writer) {
			s.mutex.Lock()
			s.cancel(stream.id)
			s.mutex.Unlock()
		}
	})
}

func (s *Server) admit(now time.Time, body protocol.CompletionBody, imported bool) (*outStream, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	natural := s.config.Lengths.Draw(xxhash.Sum64String(body.Prompt), body.Seed)
	stream := newOutStream(body, min(natural, body.MaxTokens), natural > body.MaxTokens)
	if s.streams[stream.id] != nil {
		return nil, errors.ErrUnsupported
	}
	err := s.model.Submit(now, enginemodel.Sequence{
		ID: stream.id, PromptTokens: enginemodel.PromptTokens(body.Prompt), PrefixHash: xxhash.Sum64String(body.Prompt),
		Produced: body.ResumeTokens, Target: max(stream.target, body.ResumeTokens), Priority: body.Priority, ChunkTokens: body.ChunkTokens, Imported: imported,
	})
	if err != nil {
		return nil, err
	}
	if body.ResumeTokens == 0 && !imported {
		// A stream that was handed over before its first token goes on here: its
		// source has confirmed the hand-over, which it does once.
		s.runs[xxhash.Sum64String(body.Prompt)]++
	}
	s.applyFaults(stream)
	s.streams[stream.id] = stream
	return stream, nil
}

func (s *Server) applyFaults(stream *outStream) {
	if s.faults.Truncate > 0 {
		s.faults.Truncate--
		stream.truncateAt = truncateTokens
	}
	if s.faults.LoseAdmission > 0 {
		s.faults.LoseAdmission--
		stream.loseAdmission = true
	}
	if s.faults.Unversioned > 0 {
		s.faults.Unversioned--
		stream.unversioned = true
	}
}

func (s *Server) fetchExport(source, handle string) bool {
	status, _, err := s.client.GetTimeout(nil, "http://"+source+protocol.PathImport+"?handle="+handle, importTimeout)
	return err == nil && status == fasthttp.StatusOK
}
