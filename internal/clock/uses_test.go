package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// A machine was suspended for some seconds. Its steady clock stood still meanwhile, so the
// node woke with a lease that another node had held since, and would have given orders
// under it: time.Now and time.Since read that clock. What proves something to others by
// time must read the clock that is handed to it.

// proofs are the files, below internal, that hold such proofs.
var proofs = []string{
	"duties/lease/*.go", "replicas/slowstart/*.go", "callers/quarantine/*.go", "replicas/directory/slowstart.go", "replicas/directory/warmups.go",
	"replicas/directory/evacuation*.go", "store/watchcache/freshness.go", "jobs/batch/pause.go",
}

// steadyReads are the functions of package time that read the steady clock.
var steadyReads = []string{"Now", "Since", "Until"}

func TestProofsByTimeReadTheClockThatCountsSuspensions(t *testing.T) {
	for _, pattern := range proofs {
		paths, err := filepath.Glob(filepath.Join("..", pattern))
		if err != nil || len(paths) == 0 {
			t.Errorf("%s: no such file, error %v", pattern, err)
		}
		for _, path := range paths {
			if !strings.HasSuffix(path, "_test.go") {
				checkReads(t, path)
			}
		}
	}
}

// checkReads reports each reading of the steady clock in a file.
func checkReads(t *testing.T, path string) {
	t.Helper()
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if name, ok := selector.X.(*ast.Ident); ok && name.Name == "time" && slices.Contains(steadyReads, selector.Sel.Name) {
			t.Errorf("%s reads the steady clock by time.%s", files.Position(selector.Pos()), selector.Sel.Name)
		}
		return true
	})
}
