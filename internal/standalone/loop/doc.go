// Package loop runs the duties of a node on one goroutine. Calls posted from any
// goroutine, and timers, run there one after the other, so that duties need no
// locks. The Loop owns that goroutine and its queue; it relies on the wall clock,
// and gives duties the same environment.Clock that the simulator gives them on a
// virtual one.
//
// Calls run in the order in which they were posted. Close runs those posted before
// it; calls posted after it are dropped.
package loop
