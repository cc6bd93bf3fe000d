// Package standin holds what the scripts of the review share: a deployment of node processes
// on loopback addresses, the metadata store that they use, and the record of a run.
package standin
