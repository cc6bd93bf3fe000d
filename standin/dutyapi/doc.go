// Package dutyapi stands in for the platform's API for what one node does for a
// whole deployment: it takes reports of usage, and judges them as the platform
// does.
package dutyapi
