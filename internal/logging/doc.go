// Package logging sets up the log of a node: klog lines as JSON, one object a line, which
// never hold the node up. Lines that the writer cannot keep up with are dropped, counted,
// and their number is logged.
package logging
