// Package weights brings the declared weight versions onto the engines. For
// each model and region one lease holder compares what is declared with what
// the engines report and orders the difference: staging ahead, a few at a
// time because the weight store is rate-limited, then activation in waves
// that leave every traffic group its floor. Orders carry the lease's fencing
// token; an engine refuses older ones.
package weights
