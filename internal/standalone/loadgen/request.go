package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
)

// Request is one request of a caller.
type Request struct {
	Model     string
	Group     string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Key marks the request unsafe to repeat.
	Key      string
	Deadline time.Duration
}

// Kind is how a request ended for its caller.
type Kind int

// The kinds of end.
const (
	Answered Kind = iota
	RefusedNotRun
	Unknown
	Wrong
	Truncated
	Unreachable
)

// Verdict is the end of a request with the error code, if there was one.
type Verdict struct {
	Kind Kind
	Code string
}

const (
	headerOutcome = "Pathtally-Outcome"
	outcomeNotRun = "not-run"
	outcomeDone   = "done"
	callGrace     = 3 * time.Second
)

// answerBody is what a caller reads of an answer or of an event.
type answerBody struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
	Pathtally *struct {
		Outcome string `json:"outcome"`
	} `json:"pathtally"`
}

// NewClient returns an HTTP client that never repeats a request by itself.
func NewClient() *fasthttp.Client {
	return &fasthttp.Client{
		StreamResponseBody: true, MaxConnsPerHost: 1 << 16, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: 2 * time.Second,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Do sends a request to a node and judges the answer.
func Do(client *fasthttp.Client, address string, request Request) Verdict {
	body, err := json.Marshal(map[string]any{"model": request.Model, "prompt": request.Prompt, "max_tokens": request.MaxTokens, "stream": request.Stream})
	if err != nil {
		return Verdict{Kind: Wrong}
	}
	call, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(response)
	call.SetRequestURI("http://" + address + "/v1/completions")
	call.Header.SetMethod(fasthttp.MethodPost)
	call.Header.SetContentType("application/json")
	call.Header.Set("Pathtally-Group", request.Group)
	call.Header.Set("Pathtally-Deadline", request.Deadline.String())
	if request.Key != "" {
		call.Header.Set("Idempotency-Key", request.Key)
	}
	call.SetBody(body)
	if err := client.DoTimeout(call, response, request.Deadline+callGrace); err != nil {
		return connectionVerdict(err)
	}
	defer response.CloseBodyStream()
	if bytes.HasPrefix(response.Header.ContentType(), []byte("text/event-stream")) {
		return judgeStream(response, request)
	}
	return judgeWhole(response, request)
}

// connectionVerdict tells a connection that was never made, which harms
// nobody, from one that was cut with the request on it.
func connectionVerdict(err error) Verdict {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Verdict{Kind: Unreachable, Code: "unreachable"}
	}
	return Verdict{Kind: Truncated, Code: "connection cut"}
}

func bodyReader(response *fasthttp.Response) io.Reader {
	if response.BodyStream() != nil {
		return response.BodyStream()
	}
	return bytes.NewReader(response.Body())
}

func judgeWhole(response *fasthttp.Response, request Request) Verdict {
	data, err := io.ReadAll(bodyReader(response))
	var body answerBody
	if err != nil || json.Unmarshal(data, &body) != nil {
		return Verdict{Kind: Truncated}
	}
	outcome := string(response.Header.Peek(headerOutcome))
	if body.Error != nil {
		verdict := Verdict{Kind: Unknown, Code: body.Error.Code}
		if outcome == outcomeNotRun {
			verdict.Kind = RefusedNotRun
		}
		return verdict
	}
	if len(body.Choices) != 1 || body.Usage == nil || outcome != outcomeDone {
		return Verdict{Kind: Wrong}
	}
	return judgeText(request, body.Choices[0].Text, body.Usage.CompletionTokens)
}

func judgeText(request Request, text string, tokens int) Verdict {
	if tokens <= 0 || text != enginemodel.Text(request.Prompt, 0, tokens) {
		return Verdict{Kind: Wrong}
	}
	return Verdict{Kind: Answered}
}

// judgeStream reads events up to [DONE]; a stream that ends before it without
// an error event is truncated.
func judgeStream(response *fasthttp.Response, request Request) Verdict {
	scanner := bufio.NewScanner(bodyReader(response))
	scanner.Buffer(nil, 1<<20)
	var text strings.Builder
	tokens := 0
	for scanner.Scan() {
		line, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if line == "[DONE]" {
			return judgeText(request, text.String(), tokens)
		}
		var event answerBody
		if json.Unmarshal([]byte(line), &event) != nil {
			return Verdict{Kind: Wrong}
		}
		if event.Error != nil {
			return Verdict{Kind: Unknown, Code: event.Error.Code}
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Text)
		}
		if event.Usage != nil {
			tokens = event.Usage.CompletionTokens
		}
	}
	return Verdict{Kind: Truncated}
}
