// Package placement decides, without I/O, in which order the items of batch jobs
// run, at which replicas, and which runs move to others. It takes views of the items
// and replicas and gives back decisions; internal/jobs/batch collects the views and
// carries the decisions out.
package placement
