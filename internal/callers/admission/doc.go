// Package admission bounds the calls to a service or of a traffic group: Gate by a rate, a
// number in flight and a queue ordered by priority, Adaptive by a number in flight that
// follows the service's signs of overload, and RetryBudget by a share of the successes.
//
// Each owns its counts and relies on nothing else. The users' stack uses Adaptive, for the
// calls of scorers, and the standalone stack the others. A call that is refused gets a
// *RefusedError with its Retry-After. Whoever entered must leave once.
package admission
