// Package jobstore stores batch jobs in the metadata store.
//
// A job is an object of kind KindJobs. It is created under the caller's id if there is none,
// so that an id is accepted only once. The spec is the Record (owner, epoch, route, tenant);
// the status holds whether the job has ended. The payload is stored before the record, in
// parts (KindPayloads). Results are stored in chunks (KindResults) that are numbered from 0.
// Each chunk is created only if its position is free, so that the store decides which of
// several writers gets a position.
//
// The package holds no state apart from the objects in the store. It guarantees:
//
//   - Accept returns the stored record, which may be that of another writer, or an error that
//     tells whether the write may still take effect. Append returns the stored chunk, which
//     may be that of another writer.
//   - The chunks of a listing start at the first requested one and have no gaps.
//   - A caller that reads the listing before it appends adds nothing after a seal. An append by
//     a former owner fails at positions up to the fence.
//
// Object names, field names and the size limits of parts and chunks are a stored format:
// nodes of other versions read it.
package jobstore
