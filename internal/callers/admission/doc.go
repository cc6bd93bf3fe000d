// Package admission limits the calls to a service or of a traffic group. Gate limits the rate
// and the number in flight, and queues by priority. Adaptive limits the number in flight and
// adjusts the limit to the overload that the service reports. RetryBudget limits retries to a
// share of the successful requests.
//
// Each type keeps its own counters and depends on no other package. The users' stack uses
// Adaptive, for calls of scorers, and RetryBudget; the standalone stack uses Gate and
// RetryBudget. A call that is not admitted gets a *RefusedError with its Retry-After. Each
// successful Enter must be followed by exactly one Leave.
package admission
