package autoscale

// Reason is the reason for a zone's target.
type Reason string

// The reasons, as they are logged.
const (
	// ReasonOpenItems: there are more open items than slots.
	ReasonOpenItems Reason = "open items want slots"
	// ReasonUtilization: the utilization of the slots is above its target.
	ReasonUtilization Reason = "too much of the slots is in use"
	// ReasonBase: no more replicas than the baseline are required.
	ReasonBase Reason = "as many as there were"
	// ReasonEvacuation: the replicas replace those of an evacuated zone.
	ReasonEvacuation Reason = "replicas of another zone get no work"
)

// ZoneTarget is the target number of replicas of a zone.
type ZoneTarget struct {
	Zone     string
	Replicas int
	Reason   Reason
}
