package cleanup

import "github.com/ansel1/merry/v2"

// errNotHolder means that this node does not hold the duty lease any more.
var errNotHolder = merry.Sentinel("node does not hold the duty lease")
