// Package statistics collects statistics about the items and models of batch jobs: the text
// lengths of items, the number of events of a model per token that callers expect, the work of
// the jobs of a model, by how many versions its weights may be behind, when the steps of its
// trainer are due, and the open jobs of other nodes. They determine the
// order in which the items of a job run, and the demand for weights.
//
// The statistics are held in memory and may be lost. A node without statistics uses the
// estimates of the callers, and collects new statistics within seconds from its own runs and
// the heartbeats of other nodes. The types do no I/O, read no clock and are not safe for
// concurrent use.
package statistics
