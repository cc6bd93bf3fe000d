// Package instance is a node that keeps all its lasting state in a metadata
// store: it joins the directory, the front towards callers, the batch jobs and
// the weight orders, and runs them over sockets from start to planned stop.
package instance
