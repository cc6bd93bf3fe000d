// Package logging sets up the log of a node: klog lines as JSON, one object per line. Logging
// never blocks the node: if the writer cannot keep up, lines are dropped and their number is
// logged.
package logging
