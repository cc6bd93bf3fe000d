package command

import (
	"flag"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

// defaultPlatform is where the object API of the stand-ins listens.
const defaultPlatform = "127.0.0.1:7000"

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

// change replaces everything with the folder's objects, or merges them.
func (f folderFlags) change(declared *v1.Set) configwriter.Change {
	return func(current *v1.Set) (*v1.Set, error) {
		if *f.prune {
			return declared, nil
		}
		return current.Merge(declared), nil
	}
}
