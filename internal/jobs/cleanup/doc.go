// Package cleanup deletes ended batch jobs from the metadata store, a time after their end.
//
// One node at a time, the holder of the duty lease, lists the batch jobs and notes when it first saw
// each one as ended, by a clock that does not depend on the time of day. Once a job has been ended for
// the retention time, nobody may ask for it any more, and it is deleted: first the record, if it is
// still at the revision that was seen, then the results and the payload. From the deletion of the
// record on, the job does not exist for any reader.
//
// Before the record of a job is deleted, the job is entered into the ledger, one object in the store that
// is replaced conditionally. The next holder completes what the ledger lists, so that a holder that is
// lost half-way leaves nothing behind.
//
// The package keeps the jobs that wait for their deletion in memory, at most maxTracked; a new holder
// starts anew. Writes are limited to a rate and are sent only under the lease.
package cleanup
