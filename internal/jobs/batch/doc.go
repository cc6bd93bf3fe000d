// Package batch accepts batch jobs, runs their items as resumable streams on replicas, has
// the texts scored, and lists each result once at a fixed position that every node shows
// alike.
//
// # What it relies on
//
// All that lasts is in the metadata store, by way of package jobstore: a job is created on
// condition under the caller's id, which settles that it is accepted once; its results are
// appended at numbered positions, each created on condition, which settles what a
// position has, whoever writes it. Package placement decides the order of items, their replicas,
// moves and stalls; package ownership decides takeovers; packages ends, statistics and
// replicastate hold what is known of ends, of texts and of replicas. The directory has
// routes and replicas, the peer table the other nodes.
//
// # What it owns
//
// Service owns the jobs that this node runs or has run (job), what is known of the jobs of
// other nodes (remoteJob), the queue of items and their runs (attempt). One mutex guards
// all of it, and no call to the store, a peer or a replica is made while it is held:
// docs/design/batch-parts.md says what has to change together. Handler serves HTTP.
//
// # What it guarantees
//
// The node that accepted a job runs it. Others receive its heartbeats and take the job
// over when these stop. Two nodes that run the same job for a while do no harm: one of
// them writes the next position, and the other reads and adopts it.
//
// # States of a job at a node
//
// The stored record says who owns a job and whether it has ended. A read of the record
// counts from when it was sent.
//
//	state       set by                            reads are answered    ends with
//	open        a start                           from memory           the end, or all listed
//	suspect     a pause of this process, another  from the store        a read of the record
//	            owner's heartbeat, a foreign                            sent since then
//	            chunk
//	displaced   a record that names another       by that owner         -
//	            owner
//	ended       a caller, or another node's       from memory           90 s after the end
//	            heartbeat                                               is stored
//	end stored  the store's answer to the end,    from memory           90 s
//	            or a read of the record
//	appending   results sent to the store         open: from memory     the store's answer
//	                                              and what the store
//	                                              has behind it; ended:
//	                                              from the store
//
// Ends are remembered by id, apart from jobs, so that one that comes while a job is read
// or accepted keeps it from being started. An end that the store does not have is
// persisted by whoever holds the job.
//
// # Chunks without results
//
// A successor writes a fence behind the results that it has read, so that an append of the
// former owner fails from then on. Whoever reads an ended job from the store writes a
// seal: nothing is added behind it, and what was read is final.
package batch
