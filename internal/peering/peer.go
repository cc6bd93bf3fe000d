package peering

import "time"

// Peer is another node.
type Peer struct {
	Node    string
	Address string
	Zone    string
	// Incarnation is when its process started; a greater one is newer.
	Incarnation uint64
	// Heard is when something came from it last.
	Heard time.Time
}

// record is a node's entry in the metadata store.
type record struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
}
