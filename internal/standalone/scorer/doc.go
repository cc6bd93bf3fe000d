// Package scorer is the adapter towards the services that judge samples. A
// Client owns a bounded pool of workers for its HTTP calls, and hands results
// back through the function that it was given, usually a loop's Post. A call that
// fails is not repeated here; package rollout does that.
package scorer
