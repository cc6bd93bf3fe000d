// Package forward brings live requests to replicas and their whole answers
// back: it picks a replica by the route and the loads, retries what may be
// repeated, sends a second attempt when the first is slow, and keeps to the
// caller's deadline and the route's bound. What it gives up is answered at
// once, and "not run" is said only when nothing can have run.
package forward
