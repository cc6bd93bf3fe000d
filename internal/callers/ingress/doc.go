// Package ingress implements the HTTP handler that serves callers.
//
// It finds the route of a request, authenticates the caller, reads the body within the
// configured limits, passes the request to the forwarder or to the batch jobs, and writes the
// response. refusalOf maps each error to the status, text and Retry-After of the response
// that the node itself sends.
//
// The package accounts for the memory of the bodies in progress, and counts the requests in
// progress, for which a draining node waits. It uses the configuration of the directory's
// current view, and Headers for the header names. It runs on net/http because that cancels
// a request's context as soon as the caller disconnects.
package ingress
