package command

import (
	"fmt"
	"runtime"
)

// Version is the release version of pathtally.
const Version = "0.1.0"

func runVersion(call *invocation) error {
	if _, err := call.parse(); err != nil {
		return usageError(err)
	}
	fmt.Fprintf(call.stdout, "pathtally %s %s\n", Version, runtime.Version())
	return nil
}
