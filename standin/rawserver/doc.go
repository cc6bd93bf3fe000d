// Package rawserver provides a server that leaves the bytes of each response, and the end of its
// connection, to a test.
package rawserver
