package command

import (
	"fmt"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

func runDiff(call *invocation) error {
	folder := registerFolderFlags(call.flags)
	declared, err := folder.load(call)
	if err != nil {
		return err
	}
	writer, err := configwriter.NewBlocking(*folder.platform)
	if err != nil {
		return err
	}
	defer writer.Close()
	current, generation, err := writer.Read()
	if err != nil {
		return err
	}
	next, err := folder.change(declared)(current)
	if err != nil {
		return err
	}
	changes := v1.Diff(current, next)
	for _, change := range changes {
		fmt.Fprintln(call.stdout, change)
	}
	fmt.Fprintf(call.stdout, "%d changes against generation %d\n", len(changes), generation)
	return nil
}
