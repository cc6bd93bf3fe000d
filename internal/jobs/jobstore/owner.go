package jobstore

// Owner is the process that runs a batch job.
type Owner struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	// Incarnation tells the processes of one node apart: a later one has a greater number.
	Incarnation uint64 `json:"incarnation"`
}
