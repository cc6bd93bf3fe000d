// Package workqueue hands items from any goroutine to one that works on them in
// batches. The Queue owns the items that wait; it has no bound, so its users
// bound what they put in.
package workqueue
