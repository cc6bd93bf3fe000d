package v1

const (
	defaultRequestsPerSecond  = 1000
	defaultMaxInFlight        = 256
	defaultMaxQueue           = 64
	defaultRetryBudgetPercent = 10
)

// Limit declares the limits of a set of traffic groups at one node.
type Limit struct {
	Header
	Spec LimitSpec `json:"spec"`
}

// LimitSpec is the specification of a Limit. Limits apply to each group at each node.
type LimitSpec struct {
	// Groups selects traffic groups by label.
	Groups string `json:"groups"`
	// RequestsPerSecond and Burst are the rate and the size of the token bucket.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	Burst             int     `json:"burst,omitempty"`
	// MaxInFlight and MaxQueue are the maximum numbers of running and queued requests.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	MaxQueue    int `json:"maxQueue,omitempty"`
	// RetryBudgetPercent is the maximum number of retries as a percentage of recent
	// successes.
	RetryBudgetPercent float64 `json:"retryBudgetPercent,omitempty"`
}

// SetDefaults implements Object.
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

// Validate implements Object.
func (l *Limit) Validate(report *Report) {
	report.Selector("spec.groups", l.Spec.Groups)
	report.Positive("spec.requestsPerSecond", l.Spec.RequestsPerSecond)
	report.Positive("spec.burst", float64(l.Spec.Burst))
	report.Positive("spec.maxInFlight", float64(l.Spec.MaxInFlight))
	report.Between("spec.maxQueue", float64(l.Spec.MaxQueue), 0, 1<<20)
	report.Between("spec.retryBudgetPercent", l.Spec.RetryBudgetPercent, 0, 100)
}
