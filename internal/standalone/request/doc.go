// Package request is the state machine of one request or sample attempt:
// claimed if it is unsafe to repeat, dispatched, streamed, moved or resumed,
// and ended with exactly one of three outcomes. The machine does no I/O; each
// event gives the one action that comes next. Gateways, the rollout scheduler
// and the simulator all drive the same machine.
//
// Invariants: an unsafe request is dispatched again only after an engine said
// that it did not run it, or handed the stream over; "not run" is said only
// when no dispatch may have run.
package request
