package jobstore

import (
	"encoding/json"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Record is the stored state of a batch job except its payload and results.
type Record struct {
	Owner Owner `json:"owner"`
	// Epoch is the number of owners so far, the present one included.
	Epoch int `json:"epoch"`
	// Route is the name of the route that accepted the job, and Host the host of its
	// requests.
	Route string `json:"route"`
	Host  string `json:"host"`
	// Parts is the number of objects that hold the payload.
	Parts int `json:"parts"`
	// Tenant is the job's tenant, empty where no tenants were declared.
	Tenant string `json:"tenant,omitempty"`
	// Entry is the region of the node that the caller connected to, and Scorers the
	// routes of the job's reward calls. With Route and Tenant they decide where the
	// job's bodies may be. Records of earlier versions have neither.
	Entry   string   `json:"entry,omitempty"`
	Scorers []string `json:"scorers,omitempty"`
	// Items is the number of items, 0 for unknown.
	Items int `json:"items,omitempty"`
	// AcceptedMs is the first owner's wall clock at the acceptance, in Unix
	// milliseconds.
	AcceptedMs int64 `json:"acceptedMs"`
}

// status is the stored status of a batch job.
type status struct {
	Ended bool `json:"ended"`
}

// readRecord decodes a job's record and tells whether the job has ended.
func readRecord(object objectstore.Object) (record Record, ended bool, err error) {
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return Record{}, false, err
	}
	var stored status
	if len(object.Status) > 0 {
		if err := json.Unmarshal(object.Status, &stored); err != nil {
			return Record{}, false, err
		}
	}
	return record, stored.Ended, nil
}
