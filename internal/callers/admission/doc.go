// Package admission limits the calls to a service or of a traffic group. Gate limits the rate
// and the number in flight, and queues by priority. Adaptive limits the number in flight and
// adjusts the limit to the overload that the service reports. ServiceQueue limits the rate of
// live requests at each replica of an overloaded service, and decides which of them wait and
// which are refused. RetryBudget limits retries to a share of the successful requests.
//
// Each type keeps its own counters and depends on no other package. The users' stack uses
// ServiceQueue for live requests, Adaptive for calls of scorers, and RetryBudget; the standalone
// stack uses Gate and RetryBudget. A call that Gate or Adaptive does not admit gets a
// *RefusedError with its Retry-After, and each successful Enter must be followed by exactly one
// Leave. ServiceQueue is a state machine without clock, lock or random source: package forward
// supplies them.
package admission
