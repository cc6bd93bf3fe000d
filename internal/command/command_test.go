package command

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/sebdah/goldie/v2"

	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

func run(args ...string) (ExitCode, string, string) {
	var stdout, stderr bytes.Buffer
	code := Run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestHelp(t *testing.T) {
	code, stdout, _ := run("-h")
	if code != ExitDone {
		t.Errorf("-h: exit code %d", code)
	}
	goldie.New(t).Assert(t, "help", []byte(stdout))
	for _, listed := range subcommands() {
		code, _, stderr := run(listed.name, "-h")
		if code != ExitDone || !bytes.Contains([]byte(stderr), []byte(listed.example)) || !bytes.Contains([]byte(stderr), []byte("Exit codes")) {
			t.Errorf("%s -h: exit code %d: %s", listed.name, code, stderr)
		}
	}
}

func TestExitCodes(t *testing.T) {
	tests := []struct {
		args []string
		code ExitCode
	}{
		{nil, ExitUsage},
		{[]string{"nonsense"}, ExitUsage},
		{[]string{"version"}, ExitDone},
		{[]string{"validate"}, ExitUsage},
		{[]string{"validate", "-f", "../../examples/cauce"}, ExitDone},
		{[]string{"validate", "../../api/v1/testdata/broken"}, ExitFailed},
		{[]string{"validate", "-colour", "red"}, ExitUsage},
		{[]string{"node", "-check", "-settings", "../../examples/separate/node-1.yaml"}, ExitDone},
		{[]string{"node", "-check", "-node", "n"}, ExitFailed},
		{[]string{"node", "stray"}, ExitUsage},
		{[]string{"get"}, ExitUsage},
		{[]string{"get", "engines", "-l", "=="}, ExitUsage},
		{[]string{"apply", "-f", "../../examples/cauce", "-wait"}, ExitUsage},
		{[]string{"drain"}, ExitUsage},
		{[]string{"status", "-node-address", "127.0.0.1:1"}, ExitFailed},
		{[]string{"get", "Engine", "-platform", "127.0.0.1:1"}, ExitFailed},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.args), func(t *testing.T) {
			if code, _, stderr := run(test.args...); code != test.code {
				t.Errorf("exit code %d, want %d: %s", code, test.code, stderr)
			}
		})
	}
	if code := exitCode(merry.Wrap(configwriter.ErrOutcomeUnknown)); code != ExitUnknown {
		t.Errorf("exit code %d for ErrOutcomeUnknown, want ExitUnknown", code)
	}
	if code := exitCode(&configwriter.ConflictError{}); code != ExitConflict {
		t.Errorf("exit code %d for a ConflictError, want ExitConflict", code)
	}
}
