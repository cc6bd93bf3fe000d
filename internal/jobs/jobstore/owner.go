package jobstore

// Owner identifies the process that runs a batch job.
type Owner struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	// Incarnation distinguishes the processes of one node. It increases with each restart.
	Incarnation uint64 `json:"incarnation"`
}
