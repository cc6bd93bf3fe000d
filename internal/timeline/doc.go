// Package timeline reads the JSON log lines of nodes and tells of each step of
// a trainer how its time went: when it was accepted, listed and ended, which
// item it waited for at the end and why, and the shortest time that it could
// have taken with the lengths known beforehand.
package timeline
