package engine

// Action is what an order asks of an engine.
type Action string

// The actions of an order.
const (
	ActionStage    Action = "stage"
	ActionActivate Action = "activate"
	ActionDrain    Action = "drain"
	ActionRole     Action = "role"
	ActionAdapter  Action = "adapter"
)

// Order is a fenced instruction. An engine refuses a token that is older than
// the newest one seen for the scope.
type Order struct {
	Scope   string `json:"scope"`
	Token   uint64 `json:"token"`
	Action  Action `json:"action"`
	Version int64  `json:"version,omitempty"`
	Value   string `json:"value,omitempty"`
}

// Status is what an engine reports of itself, with a lag.
type Status struct {
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Version  int64 `json:"version"`
	Staged   int64 `json:"staged"`
	Draining bool  `json:"draining"`
	// Started is the Unix time in milliseconds at which the engine started.
	Started int64 `json:"started"`
}

// Client reaches engines without blocking; callbacks run on the goroutine of
// the duty that called.
type Client interface {
	// Start dispatches a request. The sink gets its events in order and
	// nothing after an End, a Moved or an *Error. The function returned
	// cancels the stream.
	Start(address string, request Request, sink func(Event)) (cancel func())
	// Export asks an engine to hand a stream over: its sink gets a Moved.
	Export(address, id string)
	// Order gives an instruction; the status is the engine's after it.
	Order(address string, order Order, done func(Status, error))
	Status(address string, done func(Status, error))
}
