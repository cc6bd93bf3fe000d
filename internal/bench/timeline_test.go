package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestTimelineOfALogFile(t *testing.T) {
	var out, failures bytes.Buffer
	chart := filepath.Join(t.TempDir(), "steps.svg")
	if code := Run([]string{"timeline", "-plot", chart, "testdata/steps.log"}, &out, &failures); code != exitDone {
		t.Fatalf("exit code %d: %s", code, failures.String())
	}
	goldie.New(t).Assert(t, "timeline", out.Bytes())
	if drawn, err := os.ReadFile(chart); err != nil || !bytes.Contains(drawn, []byte("<svg")) {
		t.Errorf("no plot was drawn: %v", err)
	}
	out.Reset()
	if code := Run([]string{"timeline", "-json", "testdata/steps.log"}, &out, &failures); code != exitDone || !bytes.Contains(out.Bytes(), []byte(`"desiredWhole"`)) {
		t.Errorf("exit code %d, JSON %s", code, out.String())
	}
}

func TestTimelineSaysWhatIsWrong(t *testing.T) {
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
		{"a file that is not there", []string{filepath.Join(t.TempDir(), "none.log")}, "no such file"},
		{"a log without steps", []string{empty}, "tells of no batch job"},
	} {
		var out, failures bytes.Buffer
		if code := Run(append([]string{"timeline"}, test.args...), &out, &failures); code == exitDone {
			t.Errorf("%s: exit code %d", test.name, code)
		}
		if !bytes.Contains(failures.Bytes(), []byte(test.want)) {
			t.Errorf("%s: %q does not say %q", test.name, failures.String(), test.want)
		}
	}
}
