package bench

import (
	"io"
	"testing"
)

// TestExitCodes guards against reporting an invalid command line as a failed run.
func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		want int
	}{
		{"no subcommand", nil, exitUsage},
		{"unknown subcommand", []string{"nothing"}, exitUsage},
		{"unknown flag", []string{"sim", "-nothing"}, exitUsage},
		{"invalid flag value", []string{"sim", "-seeds", "many"}, exitUsage},
		{"missing file", []string{"timeline"}, exitUsage},
		{"help", []string{"sim", "-h"}, exitDone},
		{"unreadable file", []string{"timeline", "testdata/nothing.log"}, exitFailed},
	} {
		if got := Run(test.args, io.Discard, io.Discard); got != test.want {
			t.Errorf("%s: exit code %d, want %d", test.name, got, test.want)
		}
	}
}
