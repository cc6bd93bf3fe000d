package gateway

// HTTP headers of the completion API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Pathtally-Deadline"
	HeaderGroup          = "Pathtally-Group"
	HeaderOutcome        = "Pathtally-Outcome"
	HeaderVersion        = "Pathtally-Weight-Version"
	HeaderRequestID      = "Pathtally-Request-Id"
	HeaderRetryAfter     = "Retry-After"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Pathtally-Retry-After-Ms"
)

// Values of HeaderOutcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)
