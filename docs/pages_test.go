// Package docs_test keeps the pages true to the code.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// quoted matches a name in backquotes.
var quoted = regexp.MustCompile("`([^`]+)`")

var (
	goFile      = regexp.MustCompile(`^[\w./-]+\.go$`)
	moduleEntry = regexp.MustCompile(`^(cmd|internal|platform|standin|test|api|docs|examples|deploy)/[\w./-]+$`)
	testName    = regexp.MustCompile(`^(Test|Fuzz|Benchmark|check)[A-Z]\w*$`)
)

// TestPagesNameWhatIsThere holds that the files, folders and tests that the pages name in
// backquotes exist.
func TestPagesNameWhatIsThere(t *testing.T) {
	entries, tests := moduleEntries(t)
	checked := 0
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range quoted.FindAllStringSubmatch(string(text), -1) {
			name := found[1]
			switch {
			case goFile.MatchString(name), moduleEntry.MatchString(name):
				checked++
				if !entries[strings.Trim(name, "/")] {
					t.Errorf("%s: %s isn't there", page, name)
				}
			case testName.MatchString(name):
				checked++
				if !tests[name] {
					t.Errorf("%s: no test is named %s", page, name)
				}
			}
		}
	}
	if checked < 200 {
		t.Errorf("only %d names were checked", checked)
	}
}

// pages lists the pages of the project.
func pages(t *testing.T) []string {
	t.Helper()
	var all []string
	for _, pattern := range []string{"../*.md", "*.md", "*/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, found...)
	}
	return all
}

// moduleEntries are the files and folders of the module, also by the end of their paths
// ("batch/doc.go"), and the names of its tests and of the soak's checks.
func moduleEntries(t *testing.T) (entries, tests map[string]bool) {
	t.Helper()
	entries, tests = map[string]bool{}, map[string]bool{}
	function := regexp.MustCompile(`(?m)^func (?:\([^)]*\) )?((?:Test|Fuzz|Benchmark|check)[A-Z]\w*)\(`)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rest := strings.TrimPrefix(filepath.ToSlash(path), "../")
		if entry.IsDir() && (rest == ".git" || rest == "journal") {
			return filepath.SkipDir
		}
		for {
			entries[rest] = true
			_, after, more := strings.Cut(rest, "/")
			if !more {
				break
			}
			rest = after
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, found := range function.FindAllStringSubmatch(string(text), -1) {
			tests[found[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return entries, tests
}
