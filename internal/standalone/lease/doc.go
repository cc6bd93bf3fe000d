// Package lease elects one holder for a named duty through conditional writes
// to the object API. Each change of holder raises the fencing token, which
// every effect of the duty carries; receivers reject an older one, so a holder
// that wakes late does no harm. A challenger judges expiry by its own clock:
// the lease object must have been unchanged for a whole term. While the
// object API is away nobody can take over, so a holder goes on past its term.
package lease
