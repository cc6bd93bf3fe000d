// Package batch accepts batch jobs and runs their items as resumable streams on replicas.
// It sends complete texts to their scorers, and appends each result once, at a position
// that is the same on every node.
//
// # Dependencies
//
// All durable state is in the metadata store, accessed through package jobstore. A job is
// created conditionally under the id that its caller chose, so that it is accepted once.
// Its results are appended in numbered chunks, each created conditionally, so that one
// writer gets each position. Package placement decides the order of items, their replicas,
// moves and stalls; package ownership decides takeovers; packages endedjobs, statistics and
// replicastate record ended jobs, statistics and the state of replicas. The directory has
// routes and replicas, the peer table the other nodes.
//
// # State
//
// Service owns the jobs that this node runs or has run (job), what it knows of other nodes'
// jobs (remoteJob), and the queue of items and their runs (itemRun). One mutex guards all
// of it. The mutex is never held during a call to the store, a peer or a replica;
// docs/design/batch-parts.md says what has to change together. Handler serves HTTP.
//
// # Ownership
//
// The node that accepted a job owns and runs it. Other nodes receive its heartbeats and
// take the job over when these stop. It is safe if two nodes run the same job for a while:
// one of them writes the next chunk, and the other reads and adopts it.
//
// # States of a job on a node
//
// The stored record says who owns a job and whether it has ended. A read of the record
// confirms nothing about the time after it was sent, even if its response came much later.
//
//	state       set by                            reads are served      until
//	open        a start                           from memory           the end, or all results
//	                                                                    are listed
//	unconfirmed a pause of this process, another  from the store        a read of the record
//	            owner's heartbeat, a chunk of                           sent since then
//	            another writer
//	superseded  a record that names another       by that owner         -
//	            owner
//	ended       a caller, or another node's       from memory           90 s after the end
//	            heartbeat                                               is stored
//	end stored  the store's response to the end,  from memory           90 s
//	            or a read of the record
//	appending   results sent to the store         open: from memory     the store's response
//	                                              and the chunks that
//	                                              the store has beyond
//	                                              it; ended: from the
//	                                              store
//
// Ends are recorded by id, separately from jobs, so that an end that arrives while a job is
// being read or accepted prevents its start. An end that the store does not have is stored
// by any node that has the job.
//
// # Chunks without results
//
// The new owner of a job writes a fence after the results that it has read, so that later
// appends of the former owner fail. A node that reads an ended job from the store writes a
// seal: nothing can be appended after it, so that the results read are final.
package batch
