// Package enginemodel computes how a model engine behaves over time: batched
// decoding steps whose duration grows with batch and context, prefill with a
// bounded prefix cache, priorities with preemption, staged and activated
// weights, and the export of running sequences. It is pure: the stand-in
// engine drives it by the wall clock, the simulator by a virtual one.
package enginemodel
