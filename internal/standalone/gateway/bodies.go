package gateway

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pathtally/pathtally/internal/standalone/stream"
)

// promptText is a prompt given as a string or as a list of one string.
type promptText string

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(data, []byte("[")) {
		var list []string
		if err := json.Unmarshal(data, &list); err != nil {
			return err
		}
		if len(list) != 1 {
			return errPromptList
		}
		*p = promptText(list[0])
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*p = promptText(text)
	return nil
}

// chatMessage is one message of a chat request.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the body of a text or chat completion request. Unknown
// fields are ignored.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    promptText    `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Seed      uint64        `json:"seed"`
	N         *int          `json:"n"`
}

// text returns the prompt, or for chat the messages joined into one prompt.
func (r *completionRequest) text(chat bool) string {
	if !chat {
		return string(r.Prompt)
	}
	var builder strings.Builder
	for _, message := range r.Messages {
		builder.WriteString(message.Role)
		builder.WriteString(": ")
		builder.WriteString(message.Content)
		builder.WriteByte('\n')
	}
	return builder.String()
}

// completionResponse is a text or chat completion response, or one event of a
// streamed response.
type completionResponse struct {
	ID        string     `json:"id"`
	Object    string     `json:"object"`
	Created   int64      `json:"created"`
	Model     string     `json:"model"`
	Choices   []choice   `json:"choices"`
	Usage     *usage     `json:"usage,omitempty"`
	Pathtally *extension `json:"pathtally,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// extension holds the fields that this service adds to the completion API.
type extension struct {
	Outcome  string           `json:"outcome"`
	Segments []stream.Segment `json:"segments,omitempty"`
}

// errorResponse is an error in the format of the completion API.
type errorResponse struct {
	Error     errorBody  `json:"error"`
	Pathtally *extension `json:"pathtally,omitempty"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
