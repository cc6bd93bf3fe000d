package instance

import "runtime/debug"

const (
	megabyte = 1 << 20
	// bodiesDivisor gives the part of the memory that the bodies of requests in
	// progress may take, one in so many.
	bodiesDivisor = 4
	// collectPart is the part of the memory, between 0 and 1, beyond which the runtime
	// gives it back eagerly.
	collectPart = 0.7
)

// boundMemory has the runtime collect eagerly near the bound of the settings, 0 for none.
func boundMemory(memoryMB int64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(collectPart * float64(memoryMB*megabyte)))
	}
}

// bodyBytes bounds the bodies of all requests in progress; 0 for no bound.
func bodyBytes(memoryMB int64) int64 { return memoryMB * megabyte / bodiesDivisor }
