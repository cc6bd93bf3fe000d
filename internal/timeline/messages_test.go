package timeline

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMessagesThatAreReadAreLogged finds a message that was reworded in the code
// that logs it and not here.
func TestMessagesThatAreReadAreLogged(t *testing.T) {
	code := productCode(t)
	for _, message := range []string{
		messageStarted, messageTakenOver, messageEnded, messageLate, messageListed, messageFinished, messageEarly, messageNamed, messageLoaded,
		oldWeights, moved,
	} {
		if !strings.Contains(code, `"`+message+`"`) {
			t.Errorf("no package logs %q", message)
		}
	}
}

// productCode returns the text of all packages but this one, without tests.
func productCode(t *testing.T) string {
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
