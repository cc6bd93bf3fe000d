// Package request is the state machine of one request or sample attempt. A
// request that must run at most once is claimed first. A request is dispatched,
// streamed, possibly moved to another engine or resumed, and ends with exactly
// one of three outcomes. The machine does no I/O: each event returns the next
// action. The gateway, the rollout scheduler and the simulator drive it.
//
// Invariants: an unsafe request is dispatched again only after an engine reported
// that it did not run it, or handed the stream over. The outcome is "not run"
// only if no dispatch can have run.
package request
