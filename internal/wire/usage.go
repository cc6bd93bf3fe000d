package wire

// UsagePush tells the node that reports usage what the sender has counted. The
// counts of a window are those since the sender's start, so that a push that is
// repeated or overtaken by another does no harm.
type UsagePush struct {
	Node        string
	Incarnation uint64
	// UnixMs is what the sender takes for the time, in milliseconds since the
	// start of 1970.
	UnixMs  int64
	Windows []UsageWindow
}

// UsageWindow is what one process has counted in one window.
type UsageWindow struct {
	// Number counts the windows since the start of 1970.
	Number int64
	Counts []TenantCount
}

// TenantCount is how many requests of a tenant began to run.
type TenantCount struct {
	Tenant string
	Count  uint64
}

// UsageTaken answers a UsagePush.
type UsageTaken struct {
	// UnixMs is what the receiver takes for the time.
	UnixMs int64
}
