package v1

const (
	defaultRequestsPerSecond  = 1000
	defaultMaxInFlight        = 256
	defaultMaxQueue           = 64
	defaultRetryBudgetPercent = 10
)

// Limit declares how much a set of traffic groups may ask of one node.
type Limit struct {
	Header
	Spec LimitSpec `json:"spec"`
}

// LimitSpec gives the bounds, each for one group on one node.
type LimitSpec struct {
	// Groups selects traffic groups by label.
	Groups string `json:"groups"`
	// RequestsPerSecond is the admitted rate; Burst is the bucket's size.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	Burst             int     `json:"burst,omitempty"`
	// MaxInFlight and MaxQueue bound requests running and waiting.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	MaxQueue    int `json:"maxQueue,omitempty"`
	// RetryBudgetPercent is the share of recent successes that may be spent
	// on retries.
	RetryBudgetPercent float64 `json:"retryBudgetPercent,omitempty"`
}

// SetDefaults fills in every bound left out.
func (l *Limit) SetDefaults() {
	if l.Spec.RequestsPerSecond == 0 {
		l.Spec.RequestsPerSecond = defaultRequestsPerSecond
	}
	if l.Spec.Burst == 0 {
		l.Spec.Burst = max(1, int(l.Spec.RequestsPerSecond))
	}
	if l.Spec.MaxInFlight == 0 {
		l.Spec.MaxInFlight = defaultMaxInFlight
	}
	if l.Spec.MaxQueue == 0 {
		l.Spec.MaxQueue = defaultMaxQueue
	}
	if l.Spec.RetryBudgetPercent == 0 {
		l.Spec.RetryBudgetPercent = defaultRetryBudgetPercent
	}
}

// Validate checks the limit by itself.
func (l *Limit) Validate(report *Report) {
	report.Selector("spec.groups", l.Spec.Groups)
	report.Positive("spec.requestsPerSecond", l.Spec.RequestsPerSecond)
	report.Positive("spec.burst", float64(l.Spec.Burst))
	report.Positive("spec.maxInFlight", float64(l.Spec.MaxInFlight))
	report.Between("spec.maxQueue", float64(l.Spec.MaxQueue), 0, 1<<20)
	report.Between("spec.retryBudgetPercent", l.Spec.RetryBudgetPercent, 0, 100)
}
