package command

import (
	"fmt"

	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

func runApply(call *invocation) error {
	folder := registerFolderFlags(call.flags)
	wait := call.flags.Bool("wait", false, "wait until the generation is in force and its engines can serve, at every node")
	nodeAddress := call.flags.String("node-address", "", "HTTP address of any node, needed with -wait")
	declared, err := folder.load(call)
	if err != nil {
		return err
	}
	if *wait && *nodeAddress == "" {
		return &UsageError{Message: "-wait needs -node-address"}
	}
	writer, err := configwriter.NewBlocking(*folder.platform)
	if err != nil {
		return err
	}
	defer writer.Close()
	result, err := writer.Write(folder.change(declared))
	if err != nil {
		return err
	}
	for _, change := range result.Changes {
		fmt.Fprintln(call.stdout, change)
	}
	fmt.Fprintf(call.stdout, "generation %d: %d changes\n", result.Generation, len(result.Changes))
	if !*wait {
		return nil
	}
	inForce, _, err := writer.Read()
	if err != nil {
		return err
	}
	return awaitServing(call, *nodeAddress, result.Generation, inForce)
}
