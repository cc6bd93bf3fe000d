// Package trainer stands in for a trainer: it submits steps, blocks on each,
// checks every sample, trains for a while and publishes the next weights. It
// counts what a real trainer would suffer from.
package trainer
