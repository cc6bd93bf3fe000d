package instance

import (
	"runtime/debug"
	"syscall"

	"github.com/pathtally/pathtally/internal/callers/intake"
)

const (
	megabyte = 1 << 20
	// defaultMemoryMB is the memory of a node whose settings name none.
	defaultMemoryMB = 1024
	// bodyMemoryDivisor divides the memory of the node; the result bounds the bodies of all
	// requests in progress, and those of responses together with long events.
	bodyMemoryDivisor = 4
	// headMemoryDivisor divides the memory of the node; the result bounds the heads of all
	// requests in progress.
	headMemoryDivisor = 16
	// connectionMemoryDivisor divides the memory of the node; the result bounds the connections of
	// callers, each of which takes connectionBytes with its goroutines and buffers.
	connectionMemoryDivisor = 8
	connectionBytes         = 32 << 10
	// maxDescriptors is the number of descriptors that a node counts on if its limit is higher or
	// unknown.
	maxDescriptors = 64 << 10
	// The connections of callers and of other nodes get these fractions of the descriptors, so that
	// some are left for replicas and the store.
	callerDescriptorDivisor = 2
	peerDescriptorDivisor   = 4
	// probeDescriptorDivisor divides the descriptors; the result, but at most maxProbeConnections,
	// bounds the connections to the readiness and to the metrics endpoint.
	probeDescriptorDivisor = 16
	maxProbeConnections    = 256
	// memoryLimitFraction is the memory limit of the Go runtime as a fraction of the memory of the
	// node.
	memoryLimitFraction = 0.7
)

// resources are the memory and the descriptors of the process.
type resources struct {
	memoryBytes int64
	descriptors int
}

// resourcesOf returns the resources of the process, given the memory in its settings in megabytes, 0
// for the default.
func resourcesOf(memoryMB int64) resources {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	found := resources{memoryBytes: memoryMB * megabyte, descriptors: maxDescriptors}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < maxDescriptors {
		found.descriptors = int(limit.Cur)
	}
	return found
}

// limitMemory sets the memory limit of the Go runtime.
func (r resources) limitMemory() {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(r.memoryBytes)))
}

// maxBodyBytes bounds the total size of the bodies of requests in progress, and that of responses.
func (r resources) maxBodyBytes() int64 { return r.memoryBytes / bodyMemoryDivisor }

// callerLimits returns the limits on the connections of callers. maxHeadBytes returns the limit on
// one head.
func (r resources) callerLimits(maxHeadBytes func() int64) intake.Limits {
	byMemory := int(r.memoryBytes / connectionMemoryDivisor / connectionBytes)
	return intake.Limits{
		Connections: min(byMemory, r.descriptors/callerDescriptorDivisor), HeadMemoryBytes: r.memoryBytes / headMemoryDivisor, MaxHeadBytes: maxHeadBytes,
	}
}

// probeLimits returns the limits on the connections to the readiness or the metrics endpoint.
func (r resources) probeLimits() intake.Limits {
	return intake.Limits{
		Connections: min(r.descriptors/probeDescriptorDivisor, maxProbeConnections), HeadMemoryBytes: r.memoryBytes / headMemoryDivisor / headMemoryDivisor,
	}
}

// peerConnections returns the limit on the connections of other nodes.
func (r resources) peerConnections() int { return r.descriptors / peerDescriptorDivisor }
