package command

import (
	"fmt"
	"runtime"
)

// Version is the release of this program.
const Version = "0.1.0"

func runVersion(context *invocation) error {
	if _, err := context.parse(); err != nil {
		return usageError(err)
	}
	fmt.Fprintf(context.stdout, "pathtally %s %s\n", Version, runtime.Version())
	return nil
}
