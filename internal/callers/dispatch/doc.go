// Package dispatch sends one request once to one replica and judges what comes
// back: whether the replica ran it, whether the answer is this request's own,
// and whether it is signed. It never repeats anything; forwarding and the
// running of batch jobs both build on it.
package dispatch
