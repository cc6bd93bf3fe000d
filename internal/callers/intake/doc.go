// Package intake bounds what the connections of callers take from a node: their number, the memory of
// the heads that they send, and the connections that hold up others by sending or reading slowly.
//
// A Listener wraps the listener of an HTTP server. Each Connection waits for a request, receives
// one, or is being served. At a limit the Listener closes the connection that has waited or
// received for longest, or that has blocked a write for long; one that is being served and reads
// its response stays. So a crowd that only holds connections gives way to ordinary callers.
//
// Prepare connects a server with its listener; Received tells that a request has been read
// completely. The bounds of request and response bodies are budgets of package bytebudget, which
// call CloseIncomplete and CloseUnread when they are exhausted.
package intake
