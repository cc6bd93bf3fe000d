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

// bootTimeFiles are the files, below internal, that must read time only from an injected clock.
var bootTimeFiles = []string{
	"duties/lease/*.go", "replicas/slowstart/*.go", "callers/quarantine/*.go", "replicas/directory/slowstart.go", "replicas/directory/warmups.go",
	"replicas/directory/evacuation*.go", "store/watchcache/freshness.go", "jobs/batch/pause.go",
}

// monotonicReads are the functions of package time that read the monotonic clock.
var monotonicReads = []string{"Now", "Since", "Until"}

// Guards against leases and similar checks that read the monotonic clock, which stops during a
// suspension: a resumed node would then act on an expired lease.
func TestExpiryChecksUseBootTime(t *testing.T) {
	for _, pattern := range bootTimeFiles {
		paths, err := filepath.Glob(filepath.Join("..", pattern))
		if err != nil || len(paths) == 0 {
			t.Errorf("%s: no file matches, error %v", pattern, err)
		}
		for _, path := range paths {
			if !strings.HasSuffix(path, "_test.go") {
				checkReads(t, path)
			}
		}
	}
}

// checkReads reports each read of the monotonic clock in a file.
func checkReads(t *testing.T, path string) {
	t.Helper()
	fileSet := token.NewFileSet()
	parsed, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if name, ok := selector.X.(*ast.Ident); ok && name.Name == "time" && slices.Contains(monotonicReads, selector.Sel.Name) {
			t.Errorf("%s reads the monotonic clock by time.%s", fileSet.Position(selector.Pos()), selector.Sel.Name)
		}
		return true
	})
}
