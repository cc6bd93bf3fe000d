package wire

// UsagePush sends the sender's usage counts to the node that reports usage. Counts are
// cumulative since the start of the sender's process, so duplicate or reordered pushes are
// harmless.
type UsagePush struct {
	Node        string
	Incarnation uint64
	// UnixMs is the sender's clock, in Unix milliseconds.
	UnixMs  int64
	Windows []UsageWindow
}

// UsageWindow holds the counts of one process in one window.
type UsageWindow struct {
	// Number is the number of windows since the Unix epoch.
	Number int64
	Counts []TenantCount
}

// TenantCount is the number of a tenant's requests that started to run.
type TenantCount struct {
	Tenant string
	Count  uint64
}

// UsageTaken is the reply to a UsagePush.
type UsageTaken struct {
	// UnixMs is the receiver's clock, in Unix milliseconds.
	UnixMs int64
}
