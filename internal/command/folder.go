package command

import (
	"flag"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

// defaultPlatform is the address of the object API that pathtally-standin serves.
const defaultPlatform = "127.0.0.1:7000"

// folderFlags are the flags of the subcommands that read a folder.
type folderFlags struct {
	folder   *string
	platform *string
	prune    *bool
}

func registerFolderFlags(flags *flag.FlagSet) folderFlags {
	return folderFlags{
		folder:   flags.String("f", "", "folder of YAML objects"),
		platform: flags.String("platform", defaultPlatform, "address of the object API"),
		prune:    flags.Bool("prune", false, "remove the objects that the folder does not have"),
	}
}

// load parses the command line and loads the objects of the folder, which -f or the only
// argument names.
func (f folderFlags) load(call *invocation) (*v1.Set, error) {
	words, err := call.parse()
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

// change returns a change that merges the declared objects into the configuration or, with
// -prune, replaces the configuration by them.
func (f folderFlags) change(declared *v1.Set) configwriter.Change {
	return func(current *v1.Set) (*v1.Set, error) {
		if *f.prune {
			return declared, nil
		}
		return current.Merge(declared), nil
	}
}
