// Package storerelay makes calls to the metadata store through another node
// while the store turns this one away. A call keeps its meaning on the way: a
// refusal still promises that nothing was done, and a call without an answer
// may have been done or may yet be.
package storerelay
