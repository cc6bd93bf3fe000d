package instance

import "runtime/debug"

const (
	megabyte = 1 << 20
	// bodyPart is the part of the memory that the bodies of requests in
	// progress may take, as a divisor.
	bodyPart = 4
	// collectPart is the part of the memory beyond which it is given back
	// eagerly.
	collectPart = 0.7
)

// boundMemory has the runtime collect eagerly near the bound of the settings.
func (i *Instance) boundMemory() {
	if i.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(collectPart * float64(i.settings.MemoryMB*megabyte)))
	}
}

// bodyBytes bounds the bodies of all requests in progress; 0 for no bound.
func (i *Instance) bodyBytes() int64 { return i.settings.MemoryMB * megabyte / bodyPart }
