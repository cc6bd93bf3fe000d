// Package forward brings live requests to replicas and their answers back.
//
// For each request it picks a replica (package routing), sends it there
// (package dispatch), and decides what follows each event: a retry, a second
// attempt while the first is slow (a hedge), a wait for room, an answer, or a
// refusal. The decision is a pure function, situation.next for requests with
// one answer and streamSituation.next for streams; request and streamRequest
// carry it out.
//
// It owns the requests in progress on this node and the turns of weighted
// targets, nothing that outlives the process. It relies on the directory's
// current view, which each pick reads anew.
//
// Guarantees: a request that must not run twice is sent again only if no
// earlier attempt can have run; a RefusedError says that no replica has run
// the request; nothing outlasts the call's deadline.
package forward
