package standalone

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// moduleRoot is the module's root as seen from this package.
const moduleRoot = "../.."

// TestNothingElseImportsTheStandaloneStack keeps the node program of a metadata store
// free of the standalone stack: only programs that choose between the two may import it.
// Tests are left out, since they are built into no program.
func TestNothingElseImportsTheStandaloneStack(t *testing.T) {
	allowed := []string{"cmd/", "internal/command/", "internal/bench/", "internal/standalone/"}
	checked := 0
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		relative, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		relative = filepath.ToSlash(relative)
		for _, prefix := range allowed {
			if strings.HasPrefix(relative, prefix) {
				return nil
			}
		}
		checked++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imported := range file.Imports {
			name, err := strconv.Unquote(imported.Path.Value)
			if err != nil {
				return err
			}
			if strings.Contains(name, "/internal/standalone") {
				t.Errorf("%s imports %s", relative, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < 300 {
		t.Errorf("only %d files were checked", checked)
	}
}
