package jobstore

import "github.com/pathtally/pathtally/internal/store/objectstore"

// StoredJob is a batch job in the store.
type StoredJob struct {
	ID     string
	Record Record
	// Ended is set if the job has ended.
	Ended bool
	// Revision is the revision of the object, for a conditional replace.
	Revision uint64
}

func readStoredJob(object objectstore.Object) (StoredJob, error) {
	record, ended, err := readRecord(object)
	return StoredJob{ID: object.Name, Record: record, Ended: ended, Revision: object.Revision}, err
}
