package autoscale

// Reason is the reason for a zone's target.
type Reason string

// The reasons, as they are logged.
const (
	// ReasonOpenItems: there are more open items than slots.
	ReasonOpenItems Reason = "open items exceed the slots"
	// ReasonUtilization: the utilization of the slots is above its target.
	ReasonUtilization Reason = "slot utilization is above the target"
	// ReasonBase: no more replicas than the baseline are required.
	ReasonBase Reason = "baseline is sufficient"
	// ReasonEvacuation: the replicas replace those of an evacuated zone.
	ReasonEvacuation Reason = "replacement for an evacuated zone"
)

// ZoneTarget is the target number of replicas of a zone.
type ZoneTarget struct {
	Zone     string
	Replicas int
	Reason   Reason
}
