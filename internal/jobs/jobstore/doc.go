// Package jobstore keeps batch jobs in the metadata store.
//
// A job is one object of kind KindJobs, created on condition under the caller's id: that
// settles that the id is accepted once. Its spec is the Record (owner, epoch, route,
// tenant), its status tells whether the job has ended. The payload is stored before it in
// parts (KindPayloads). Results are chunks (KindResults) that are numbered from 0, each
// created on condition, so that the store settles which writer has a position, whoever
// tries.
//
// The package owns no state but the store's objects and relies on objectstore alone. It
// guarantees:
//
//   - Accept and Append return what the store has, which may be another writer's, or an
//     error that says whether the write may still take effect.
//   - A listing has the chunks from the first on without a gap.
//   - Nothing is appended behind a seal by a caller that reads the listing first, and an
//     append of a former owner at a position behind a fence fails.
//
// Object names, field names and the bounds of parts and chunks are stored data: nodes of
// other versions read them.
package jobstore
