package jobstore

import (
	"encoding/json"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Chunk is a run of results in one object.
type Chunk struct {
	// Writer and Serial name the one attempt that wrote the chunk.
	Writer  string   `json:"writer"`
	Serial  int      `json:"serial"`
	Results []Result `json:"results"`
	// Texts are parts of the texts of items that were still running.
	Texts []TextPiece `json:"texts,omitempty"`
	// Seal tells that the job had ended: nothing is added behind this chunk.
	Seal bool `json:"seal,omitempty"`
}

func readChunk(object objectstore.Object) (Chunk, error) {
	var read Chunk
	err := json.Unmarshal(object.Spec, &read)
	return read, err
}
