package jobstore

import (
	"encoding/json"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Chunk is a sequence of results in one object.
type Chunk struct {
	// Writer and Serial identify the write that created the chunk.
	Writer  string   `json:"writer"`
	Serial  int      `json:"serial"`
	Results []Result `json:"results"`
	// Texts are parts of the texts of running items.
	Texts []TextPiece `json:"texts,omitempty"`
	// Seal is set if the job has ended. No chunk is appended after this one.
	Seal bool `json:"seal,omitempty"`
}

func readChunk(object objectstore.Object) (Chunk, error) {
	var read Chunk
	err := json.Unmarshal(object.Spec, &read)
	return read, err
}
