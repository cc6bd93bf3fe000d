package jobstore

import "github.com/pathtally/pathtally/internal/store/objectstore"

// StoredJob is a batch job as the store has it.
type StoredJob struct {
	ID     string
	Record Record
	// Ended tells that the store has the job's end.
	Ended bool
	// Revision is the object's, for a conditional replace.
	Revision uint64
}

func readStoredJob(object objectstore.Object) (StoredJob, error) {
	record, ended, err := readRecord(object)
	return StoredJob{ID: object.Name, Record: record, Ended: ended, Revision: object.Revision}, err
}
