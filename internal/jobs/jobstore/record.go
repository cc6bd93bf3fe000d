package jobstore

import (
	"encoding/json"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Record is the stored state of a batch job apart from its payload and results.
type Record struct {
	Owner Owner `json:"owner"`
	// Epoch is the number of owners so far, including the current one.
	Epoch int `json:"epoch"`
	// Route is the name of the route that accepted the job.
	Route string `json:"route"`
	// Host is the host of the job's requests.
	Host string `json:"host"`
	// Parts is the number of objects that hold the payload.
	Parts int `json:"parts"`
	// Digest is the SHA-256 digest of the payload. Records of earlier versions have none.
	Digest string `json:"digest,omitempty"`
	// Tenant is the job's tenant, empty if no tenants were declared.
	Tenant string `json:"tenant,omitempty"`
	// EntryRegion is the region of the node that the caller connected to. EntryRegion,
	// ScorerRoutes, Route and Tenant determine where the job's bodies may be held.
	// Records of earlier versions have neither EntryRegion nor ScorerRoutes.
	EntryRegion string `json:"entry,omitempty"`
	// ScorerRoutes are the routes of the job's reward calls.
	ScorerRoutes []string `json:"scorers,omitempty"`
	// Items is the number of items, 0 if unknown.
	Items int `json:"items,omitempty"`
	// AcceptedMs is when the first owner accepted the job, in Unix milliseconds of its wall
	// clock.
	AcceptedMs int64 `json:"acceptedMs"`
}

// status is the stored status of a batch job.
type status struct {
	Ended bool `json:"ended"`
}

// readRecord decodes the record of a job, and whether the job has ended.
func readRecord(object objectstore.Object) (record Record, ended bool, err error) {
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return Record{}, false, err
	}
	ended, err = readEnded(object)
	return record, ended, err
}

// readEnded decodes whether a job has ended.
func readEnded(object objectstore.Object) (bool, error) {
	var stored status
	if len(object.Status) > 0 {
		if err := json.Unmarshal(object.Status, &stored); err != nil {
			return false, err
		}
	}
	return stored.Ended, nil
}
