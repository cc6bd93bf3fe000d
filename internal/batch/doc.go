// Package batch takes batch jobs, runs their items as resumable streams on
// model engines, has the texts scored, and lists each result once at a fixed
// position that every node shows alike.
//
// All that lasts is in the metadata store: a job is an object created on
// condition under the caller's id, which settles that it is taken once; its
// results are appended as numbered objects, each created on condition, which
// settles every position whoever tries to write it. The node that took a job
// runs it. Others hear its heartbeats and take the job over when these stop;
// two nodes that run the same job for a while do no harm, since only one of
// them can write the next position and the other reads and adopts it.
package batch
