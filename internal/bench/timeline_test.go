package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestTimelineOfLogFile(t *testing.T) {
	var out, errorOutput bytes.Buffer
	chart := filepath.Join(t.TempDir(), "steps.svg")
	if code := Run([]string{"timeline", "-plot", chart, "testdata/steps.log"}, &out, &errorOutput); code != exitDone {
		t.Fatalf("exit code %d: %s", code, errorOutput.String())
	}
	goldie.New(t).Assert(t, "timeline", out.Bytes())
	if drawn, err := os.ReadFile(chart); err != nil || !bytes.Contains(drawn, []byte("<svg")) {
		t.Errorf("chart is not an SVG file: %v", err)
	}
	out.Reset()
	if code := Run([]string{"timeline", "-json", "testdata/steps.log"}, &out, &errorOutput); code != exitDone || !bytes.Contains(out.Bytes(), []byte(`"desiredWhole"`)) {
		t.Errorf("exit code %d, JSON %s", code, out.String())
	}
}

func TestTimelineErrors(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty.log")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name string
		args []string
		want string
	}{
		{"no file", nil, "name at least one log file"},
		{"missing file", []string{filepath.Join(t.TempDir(), "none.log")}, "no such file"},
		{"log without steps", []string{empty}, "tells of no batch job"},
	} {
		var out, errorOutput bytes.Buffer
		if code := Run(append([]string{"timeline"}, test.args...), &out, &errorOutput); code == exitDone {
			t.Errorf("%s: exit code %d, want a failure", test.name, code)
		}
		if !bytes.Contains(errorOutput.Bytes(), []byte(test.want)) {
			t.Errorf("%s: error output %q does not contain %q", test.name, errorOutput.String(), test.want)
		}
	}
}
