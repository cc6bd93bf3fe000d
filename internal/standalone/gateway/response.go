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

// maxStoredResponse is the maximum size, in bytes, of a response that a claim
// stores for repeated requests.
const maxStoredResponse = 64 << 10

const (
	objectText      = "text_completion"
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	roleAssistant   = "assistant"
	// doneEvent follows the last event of a complete stream.
	doneEvent = "data: [DONE]\n\n"
	// codeStored is logged for a repeated request that gets the stored response.
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

// serveUnary serves a request whose response is sent as a single JSON body.
func (s *Server) serveUnary(ctx *fasthttp.RequestCtx, running *call) {
	action := running.machine.Handle(request.Begin{})
	for {
		finish, ended := action.(request.Finish)
		if ended {
			s.writeResult(ctx, running, finish.Result)
			return
		}
		action = running.advance(action)
	}
}

func (s *Server) writeResult(ctx *fasthttp.RequestCtx, running *call, result request.Result) {
	if result.StoredResponse != nil {
		running.finish(result, nil)
		s.writeStored(ctx, running, result.StoredResponse)
		return
	}
	if !result.Succeeded() {
		running.finish(result, nil)
		s.writeResultFailure(ctx, running, result)
		return
	}
	data, err := json.Marshal(running.response(result))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	running.finish(result, data)
	setVersion(&ctx.Response.Header, result.Segments)
	ctx.Response.Header.Set(HeaderOutcome, OutcomeDone)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
	s.recordEnd(running.parsed, running.id, OutcomeDone, "", result.Tokens)
}

// writeStored sends the stored response of the first request with the same
// idempotency key.
func (s *Server) writeStored(ctx *fasthttp.RequestCtx, running *call, stored []byte) {
	var response completionResponse
	if json.Unmarshal(stored, &response) == nil && response.Pathtally != nil {
		setVersion(&ctx.Response.Header, response.Pathtally.Segments)
	}
	ctx.Response.Header.Set(HeaderOutcome, OutcomeDone)
	s.recordEnd(running.parsed, running.id, OutcomeDone, codeStored, 0)
	if !running.parsed.body.Stream {
		ctx.SetContentType("application/json")
		ctx.SetBody(stored)
		return
	}
	ctx.SetContentType("text/event-stream")
	var body bytes.Buffer
	writer := bufio.NewWriter(&body)
	for _, single := range response.Choices {
		event := running.event(single.content(), single.FinishReason)
		event.Usage, event.Pathtally = response.Usage, response.Pathtally
		writeEvent(writer, event)
	}
	writer.WriteString(doneEvent)
	writer.Flush()
	ctx.SetBody(body.Bytes())
}

// content returns the text of a text or chat choice.
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
	s.recordEnd(running.parsed, running.id, outcomeName(result.Outcome), found.code, result.Tokens)
}

func setVersion(header *fasthttp.ResponseHeader, segments []stream.Segment) {
	if len(segments) > 0 {
		header.Set(HeaderVersion, strconv.FormatInt(segments[len(segments)-1].Version, 10))
	}
}

// response builds the complete response of a successful request.
func (c *call) response(result request.Result) completionResponse {
	prompt := enginemodel.PromptTokens(c.parsed.prompt)
	response := c.newResponse(objectText)
	response.Usage = &usage{PromptTokens: prompt, CompletionTokens: result.Tokens, TotalTokens: prompt + result.Tokens}
	response.Pathtally = &extension{Outcome: OutcomeDone, Segments: result.Segments}
	reason := result.Reason
	single := choice{FinishReason: &reason}
	if c.parsed.chat {
		response.Object = objectChat
		single.Message = &chatMessage{Role: roleAssistant, Content: result.Text}
	} else {
		single.Text = &result.Text
	}
	response.Choices = []choice{single}
	return response
}

// storedResponse encodes the response that the claim stores for repeated
// requests. It returns nil if the request has no claim.
func (c *call) storedResponse(response completionResponse) []byte {
	if !c.granted {
		return nil
	}
	data, err := json.Marshal(response)
	if err != nil {
		return nil
	}
	return data
}

func (c *call) newResponse(object string) completionResponse {
	return completionResponse{ID: c.id, Object: object, Created: c.parsed.arrived.Unix(), Model: c.parsed.body.Model}
}

// event builds one event of a streamed response.
func (c *call) event(text string, reason *string) completionResponse {
	response := c.newResponse(objectText)
	single := choice{FinishReason: reason}
	if c.parsed.chat {
		response.Object = objectChatChunk
		single.Delta = &chatDelta{Content: text}
	} else {
		single.Text = &text
	}
	response.Choices = []choice{single}
	return response
}

// serveStream serves a request as server-sent events. An error before the first
// token is sent as a plain error response. It returns true if streaming
// continues after the handler has returned.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, running *call) bool {
	action := running.machine.Handle(request.Begin{})
	for {
		switch typed := action.(type) {
		case request.Finish:
			s.writeResult(ctx, running, typed.Result)
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
	// The outcome is not known yet; the last event of the stream carries it.
	ctx.Response.Header.Set(HeaderOutcome, OutcomeUnknown)
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer s.inFlight.Add(-1)
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
			s.finishStream(writer, running, typed.Result)
			return
		}
		action = running.advance(action)
	}
}

func (c *call) writeChunk(writer *bufio.Writer, chunk engine.Chunk) bool {
	return writeEvent(writer, c.event(chunk.Text, nil))
}

// finishStream writes the last event: the finish reason with the outcome and the
// weight versions, or an error, which is never followed by [DONE].
func (s *Server) finishStream(writer *bufio.Writer, running *call, result request.Result) {
	outcome := outcomeName(result.Outcome)
	if !result.Succeeded() {
		running.finish(result, nil)
		found := failureOf(result.Err)
		writeEvent(writer, errorResponse{
			Error:     errorBody{Message: found.message, Type: found.kind, Code: found.code},
			Pathtally: &extension{Outcome: outcome, Segments: result.Segments},
		})
		s.recordEnd(running.parsed, running.id, outcome, found.code, result.Tokens)
		return
	}
	response := running.response(result)
	running.finish(result, running.storedResponse(response))
	reason := result.Reason
	last := running.event("", &reason)
	last.Usage, last.Pathtally = response.Usage, response.Pathtally
	writeEvent(writer, last)
	writer.WriteString(doneEvent)
	writer.Flush()
	s.recordEnd(running.parsed, running.id, outcome, "", result.Tokens)
}

// writeEvent writes one server-sent event. It returns false if encoding or
// writing failed.
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
