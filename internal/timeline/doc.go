// Package timeline reconstructs the timeline of each trainer's step from the JSON log lines
// of nodes: when the step was accepted, listed and ended, which item it waited for at the end
// and why, and a lower bound of its duration given the lengths of all items.
//
// The package depends on the messages and keys that packages batch, directory and
// weightorders log; a test checks that each message still occurs in the code. All other
// lines are skipped.
package timeline
