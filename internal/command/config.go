package command

import (
	"errors"
	"flag"
	"fmt"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

const (
	defaultPlatform = "127.0.0.1:7000"
	waitLimit       = 30 * time.Second
	waitLook        = 100 * time.Millisecond
)

// usageError turns a flag error into one that ends with the usage code.
func usageError(err error) error {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &UsageError{Message: err.Error()}
}

// folderFlags are the flags of the commands that read a folder.
type folderFlags struct {
	folder   *string
	platform *string
	prune    *bool
}

func registerFolder(flags *flag.FlagSet) folderFlags {
	return folderFlags{
		folder:   flags.String("f", "", "folder of YAML objects"),
		platform: flags.String("platform", defaultPlatform, "address of the object API"),
		prune:    flags.Bool("prune", false, "remove the objects that the folder does not have"),
	}
}

func (f folderFlags) load(context *invocation) (*v1.Set, error) {
	words, err := context.parse()
	if err != nil {
		return nil, usageError(err)
	}
	if *f.folder == "" && len(words) == 1 {
		*f.folder = words[0]
	}
	if *f.folder == "" {
		return nil, &UsageError{Message: "-f FOLDER is missing"}
	}
	return v1.LoadFolder(*f.folder)
}

// change replaces everything with the folder's objects, or merges them.
func (f folderFlags) change(declared *v1.Set) configwriter.Change {
	return func(current *v1.Set) (*v1.Set, error) {
		if *f.prune {
			return declared, nil
		}
		return current.Merge(declared), nil
	}
}

func runValidate(context *invocation) error {
	folder := registerFolder(context.flags)
	set, err := folder.load(context)
	if err != nil {
		return err
	}
	fmt.Fprintf(context.stdout, "%d objects are valid\n", set.Len())
	return nil
}

func runDiff(context *invocation) error {
	folder := registerFolder(context.flags)
	declared, err := folder.load(context)
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
		fmt.Fprintln(context.stdout, change)
	}
	fmt.Fprintf(context.stdout, "%d changes against generation %d\n", len(changes), generation)
	return nil
}

func runApply(context *invocation) error {
	folder := registerFolder(context.flags)
	wait := context.flags.Bool("wait", false, "wait until the generation is in force and its engines can serve, at every node")
	nodeAddress := context.flags.String("node-address", "", "HTTP address of any node, needed with -wait")
	declared, err := folder.load(context)
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
		fmt.Fprintln(context.stdout, change)
	}
	fmt.Fprintf(context.stdout, "generation %d: %d changes\n", result.Generation, len(result.Changes))
	if !*wait {
		return nil
	}
	inForce, _, err := writer.Read()
	if err != nil {
		return err
	}
	return awaitServing(context, *nodeAddress, result.Generation, inForce)
}
