package instance

import "runtime/debug"

const (
	megabyte = 1 << 20
	// bodyMemoryDivisor divides the memory of the settings; the result bounds the bodies of
	// all requests in progress, and the large bodies of responses that are being read.
	bodyMemoryDivisor = 4
	// memoryLimitFraction is the memory limit of the Go runtime as a fraction of the memory
	// of the settings.
	memoryLimitFraction = 0.7
)

// limitMemory sets the memory limit of the Go runtime; 0 leaves it unlimited.
func limitMemory(memoryMB int64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryMB*megabyte)))
	}
}

// maxBodyBytes bounds the total size of the bodies of requests in progress, and that of responses;
// 0 for no bound.
func maxBodyBytes(memoryMB int64) int64 { return memoryMB * megabyte / bodyMemoryDivisor }
