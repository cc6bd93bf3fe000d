// Package process runs a node over real sockets: the loop of its duties, the
// peer transport, the HTTP interface and the adapters.
package process
