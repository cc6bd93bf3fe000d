package timeline

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A message that is reworded only in the code that logs it is no longer recognized here.
func TestMessagesAreLogged(t *testing.T) {
	code := sourceCode(t)
	for _, message := range []string{
		messageStarted, messageTakenOver, messageEnded, messageLate, messageListed, messageFinished, messageRunEnded, messageNamed, messageLoaded,
		errorOldWeights, errorMoved,
	} {
		if !strings.Contains(code, `"`+message+`"`) {
			t.Errorf("message %q is not logged by any package", message)
		}
	}
}

// sourceCode returns the source of all other packages, without tests.
func sourceCode(t *testing.T) string {
	t.Helper()
	var code strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && entry.Name() == "timeline" {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		code.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return code.String()
}
