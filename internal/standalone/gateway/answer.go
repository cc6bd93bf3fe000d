package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/request"
	"github.com/pathtally/pathtally/internal/standalone/stream"
	"github.com/pathtally/pathtally/internal/wire"
)

// maxStoredAnswer bounds the answer that a claim keeps for repeats.
const maxStoredAnswer = 64 << 10

const (
	objectText      = "text_completion"
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	roleAssistant   = "assistant"
	// streamEnd is the line after the last event of a whole stream.
	streamEnd = "data: [DONE]\n\n"
	// codeStored marks repeats in the log.
	codeStored = "stored"
)

func outcomeName(outcome uint8) string {
	switch outcome {
	case wire.OutcomeDone:
		return OutcomeDone
	case wire.OutcomeNotRun:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// whole serves a request whose answer is sent in one piece.
func (s *Server) whole(ctx *fasthttp.RequestCtx, running *call) {
	action := running.machine.Handle(request.Begin{})
	for {
		finish, ended := action.(request.Finish)
		if ended {
			s.writeWhole(ctx, running, finish.Result)
			return
		}
		action = running.advance(action)
	}
}

func (s *Server) writeWhole(ctx *fasthttp.RequestCtx, running *call, result request.Result) {
	if result.Stored != nil {
		running.finish(result, nil)
		s.writeStored(ctx, running, result.Stored)
		return
	}
	if !result.Done() {
		running.finish(result, nil)
		s.writeResultFailure(ctx, running, result)
		return
	}
	data, err := json.Marshal(running.answer(result))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	running.finish(result, data)
	setVersion(&ctx.Response.Header, result.Segments)
	ctx.Response.Header.Set(HeaderOutcome, OutcomeDone)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
	s.ended(running.checked, running.id, OutcomeDone, "", result.Tokens)
}

// writeStored repeats the answer of the first request with the same key.
func (s *Server) writeStored(ctx *fasthttp.RequestCtx, running *call, stored []byte) {
	var answer completionAnswer
	if json.Unmarshal(stored, &answer) == nil && answer.Pathtally != nil {
		setVersion(&ctx.Response.Header, answer.Pathtally.Segments)
	}
	ctx.Response.Header.Set(HeaderOutcome, OutcomeDone)
	s.ended(running.checked, running.id, OutcomeDone, codeStored, 0)
	if !running.checked.body.Stream {
		ctx.SetContentType("application/json")
		ctx.SetBody(stored)
		return
	}
	ctx.SetContentType("text/event-stream")
	var body bytes.Buffer
	writer := bufio.NewWriter(&body)
	for _, only := range answer.Choices {
		event := running.event(only.content(), only.FinishReason)
		event.Usage, event.Pathtally = answer.Usage, answer.Pathtally
		writeEvent(writer, event)
	}
	writer.WriteString(streamEnd)
	writer.Flush()
	ctx.SetBody(body.Bytes())
}

// content is the text of a choice of either completion path.
func (c choice) content() string {
	if c.Message != nil {
		return c.Message.Content
	}
	if c.Text != nil {
		return *c.Text
	}
	return ""
}

func (s *Server) writeResultFailure(ctx *fasthttp.RequestCtx, running *call, result request.Result) {
	found := failureOf(result.Err)
	if found.retryAfter == 0 {
		found.retryAfter = result.RetryAfter
	}
	s.writeFailure(ctx, found, outcomeName(result.Outcome))
	s.ended(running.checked, running.id, outcomeName(result.Outcome), found.code, result.Tokens)
}

func setVersion(header *fasthttp.ResponseHeader, segments []stream.Segment) {
	if len(segments) > 0 {
		header.Set(HeaderVersion, strconv.FormatInt(segments[len(segments)-1].Version, 10))
	}
}

// answer is the whole answer of a finished request.
func (c *call) answer(result request.Result) completionAnswer {
	prompt := enginemodel.PromptTokens(c.checked.prompt)
	answer := c.frame(objectText)
	answer.Usage = &usage{PromptTokens: prompt, CompletionTokens: result.Tokens, TotalTokens: prompt + result.Tokens}
	answer.Pathtally = &extension{Outcome: OutcomeDone, Segments: result.Segments}
	reason := result.Reason
	only := choice{FinishReason: &reason}
	if c.checked.chat {
		answer.Object = objectChat
		only.Message = &chatMessage{Role: roleAssistant, Content: result.Text}
	} else {
		only.Text = &result.Text
	}
	answer.Choices = []choice{only}
	return answer
}

// stored is the answer as a claim keeps it, or nil where nobody can repeat the
// request.
func (c *call) stored(answer completionAnswer) []byte {
	if !c.granted {
		return nil
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil
	}
	return data
}

func (c *call) frame(object string) completionAnswer {
	return completionAnswer{ID: c.id, Object: object, Created: c.checked.arrived.Unix(), Model: c.checked.body.Model}
}

// event is one event of a streamed answer.
func (c *call) event(text string, reason *string) completionAnswer {
	answer := c.frame(objectText)
	only := choice{FinishReason: reason}
	if c.checked.chat {
		answer.Object = objectChatChunk
		only.Delta = &chatDelta{Content: text}
	} else {
		only.Text = &text
	}
	answer.Choices = []choice{only}
	return answer
}

// streamed serves a request as server-sent events. Until the first token the
// answer can still be a plain error; true means that streaming goes on after
// the handler has returned.
func (s *Server) streamed(ctx *fasthttp.RequestCtx, running *call) bool {
	action := running.machine.Handle(request.Begin{})
	for {
		switch typed := action.(type) {
		case request.Finish:
			s.writeWhole(ctx, running, typed.Result)
			running.state.gate.Leave()
			return false
		case request.Forward:
			s.startStream(ctx, running, typed)
			return true
		}
		action = running.advance(action)
	}
}

func (s *Server) startStream(ctx *fasthttp.RequestCtx, running *call, first request.Forward) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.Header.Set(HeaderVersion, strconv.FormatInt(first.Chunk.Version, 10))
	// The outcome of a stream is in its last event; at its start none is known.
	ctx.Response.Header.Set(HeaderOutcome, OutcomeUnknown)
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer s.open.Add(-1)
		defer running.state.gate.Leave()
		s.runStream(writer, running, first)
	})
}

func (s *Server) runStream(writer *bufio.Writer, running *call, first request.Forward) {
	var action request.Action = first
	for {
		switch typed := action.(type) {
		case request.Forward:
			if !running.writeChunk(writer, typed.Chunk) {
				action = running.machine.Handle(request.CallerGone{})
				continue
			}
		case request.Finish:
			s.endStream(writer, running, typed.Result)
			return
		}
		action = running.advance(action)
	}
}

func (c *call) writeChunk(writer *bufio.Writer, chunk engine.Chunk) bool {
	return writeEvent(writer, c.event(chunk.Text, nil))
}

// endStream writes the last event: the finish reason with the outcome and the
// versions, or an error, which is never followed by [DONE].
func (s *Server) endStream(writer *bufio.Writer, running *call, result request.Result) {
	outcome := outcomeName(result.Outcome)
	if !result.Done() {
		running.finish(result, nil)
		found := failureOf(result.Err)
		writeEvent(writer, errorAnswer{
			Error:     errorBody{Message: found.message, Type: found.kind, Code: found.code},
			Pathtally: &extension{Outcome: outcome, Segments: result.Segments},
		})
		s.ended(running.checked, running.id, outcome, found.code, result.Tokens)
		return
	}
	answer := running.answer(result)
	running.finish(result, running.stored(answer))
	reason := result.Reason
	last := running.event("", &reason)
	last.Usage, last.Pathtally = answer.Usage, answer.Pathtally
	writeEvent(writer, last)
	writer.WriteString(streamEnd)
	writer.Flush()
	s.ended(running.checked, running.id, outcome, "", result.Tokens)
}

// writeEvent writes one server-sent event and tells whether it was taken.
func writeEvent(writer *bufio.Writer, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	writer.WriteString("data: ")
	writer.Write(data)
	writer.WriteString("\n\n")
	return writer.Flush() == nil
}
