package engine

// Paths of an engine's HTTP interface.
const (
	PathCompletions = "/v1/completions"
	PathStatus      = "/status"
	PathOrders      = "/orders"
	PathCancel      = "/cancel"
	PathExport      = "/kv/export"
	PathImport      = "/kv/import"
)

// CompletionBody is the body of a completion request: the usual fields, and
// the engine's own ones for priority, resume and deadline.
type CompletionBody struct {
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Stream       bool   `json:"stream"`
	Seed         uint64 `json:"seed,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	Priority     int    `json:"priority,omitempty"`
	ChunkTokens  int    `json:"chunk_tokens,omitempty"`
	Resume       string `json:"resume,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
	KVSource     string `json:"kv_source,omitempty"`
	KVHandle     string `json:"kv_handle,omitempty"`
	// DeadlineMillis is Unix time; later requests are not admitted.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// ChunkBody is one event of a completion stream. Exactly one event of a
// stream has FinishReason or Moved, and it is the last.
type ChunkBody struct {
	Text         string     `json:"text"`
	First        int        `json:"first"`
	Count        int        `json:"count"`
	Version      int64      `json:"weight_version"`
	FinishReason string     `json:"finish_reason,omitempty"`
	Tokens       int        `json:"tokens,omitempty"`
	Digest       uint64     `json:"digest,string,omitempty"`
	Moved        *MovedBody `json:"moved,omitempty"`
}

// MovedBody names an exported KV cache.
type MovedBody struct {
	Source string `json:"source"`
	Handle string `json:"handle"`
}

// NameBody names a stream, for cancel and export.
type NameBody struct {
	ID string `json:"id"`
}

// ErrorBody is an engine's typed refusal.
type ErrorBody struct {
	Reason           string `json:"reason"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}
