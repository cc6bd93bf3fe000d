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
//
// # What a node knows of a job
//
// A node holds the jobs that it runs or has run (type job) and notes those of others
// (type remoteJob). The store's record says who owns a job and whether it has ended; a
// look at the record counts from when it was sent.
//
//	state       set by                            reads are answered    ends with
//	open        a start                           from memory           the end, or all listed
//	suspect     a pause of this process, another  from the store        a look at the record
//	            owner's word, a foreign chunk                           sent since then
//	displaced   a look that shows another owner   by that owner         -
//	ended       a caller, or another node's word  from memory           the memory of 90 s
//	end kept    the store's answer to the end,    from memory           the memory of 90 s
//	            or a look
//	appending   results sent to the store         open: from memory     the store's answer
//	                                              and what stands
//	                                              behind it; ended:
//	                                              from the store
//
// Ends are kept by id, apart from jobs and notes, so that one that comes while a job is
// read or accepted keeps it from being started. An end that the store does not have is
// pursued by whoever holds the job.
//
// # Chunks without results
//
// A successor writes a fence behind the results that it has read, so that an append of
// the former owner fails from then on. Whoever reads an ended job from the store writes
// a seal: nothing is added behind it, and what was read is final.
package batch
