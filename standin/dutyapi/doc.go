// Package dutyapi stands in, in tests, for the platform's API for the work that
// one node does for the whole deployment: reports of usage and orders of
// replicas. A Server keeps the reports and checks the fencing of each call as the
// platform does; Findings returns the calls that broke a rule.
package dutyapi
