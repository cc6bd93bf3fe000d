package command

import "fmt"

func runValidate(call *invocation) error {
	folder := registerFolderFlags(call.flags)
	set, err := folder.load(call)
	if err != nil {
		return err
	}
	fmt.Fprintf(call.stdout, "%d objects are valid\n", set.Len())
	return nil
}
