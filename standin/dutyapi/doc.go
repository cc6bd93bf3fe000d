// Package dutyapi is a stand-in, in tests, for the platform's API that only the holder of the
// duty lease calls: usage reports and orders of replicas. A Server stores the reports and
// checks the fencing token of each call as the platform does; Violations returns the calls that
// violated a rule.
package dutyapi
