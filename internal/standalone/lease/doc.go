// Package lease elects one holder for each named duty through conditional
// writes to the object API. Each change of holder increases the fencing token,
// which every operation of the holder carries. Receivers reject a smaller
// token than the greatest they have seen, so a former holder that resumes late
// cannot do damage. A candidate judges expiry by its own clock: the lease
// object must have been unchanged for a whole lease duration. While the object
// API is unavailable no node can take over, so the holder keeps the lease past
// its expiry.
package lease
