package wire

import (
	"cmp"
)

// SamplePut asks for one finished sample to be stored. Token is the scheduler's fencing token.
type SamplePut struct {
	Trainer string
	Step    uint64
	Slot    uint32
	Digest  uint64
	Data    []byte
	Token   uint64
}

// SampleList asks for the references of all stored samples of a step.
type SampleList struct {
	Trainer string
	Step    uint64
}

// SampleReference identifies one stored sample of a step.
type SampleReference struct {
	Slot   uint32
	Digest uint64
}

// Compare orders references by slot, then by digest.
func (r SampleReference) Compare(other SampleReference) int {
	return cmp.Or(cmp.Compare(r.Slot, other.Slot), cmp.Compare(r.Digest, other.Digest))
}

// SampleGet asks for some samples of a step.
type SampleGet struct {
	Trainer    string
	Step       uint64
	References []SampleReference
}

// Sample is one stored sample. Data is empty in replies to SampleList.
type Sample struct {
	Slot   uint32
	Digest uint64
	Data   []byte
}

// Samples is the reply to SampleList and SampleGet.
type Samples struct{ Samples []Sample }
