package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

const validSettings = "node: n\nzone: z\nregion: r\npeer: 127.0.0.1:1\nhttp: 127.0.0.1:2\nplatform: 127.0.0.1:3\n"

func TestLoad(t *testing.T) {
	cases := []struct {
		name, text string
		flags      Settings
		want       []string
	}{
		{"valid", validSettings, Settings{}, nil},
		{"flag overrides the file", strings.Replace(validSettings, "node: n", "node: N", 1), Settings{Node: "other"}, nil},
		{"invalid address", strings.Replace(validSettings, "127.0.0.1:1", "localhost:1", 1), Settings{}, []string{"peer"}},
		{"all required settings missing", "{}", Settings{}, []string{"node", "zone", "region", "peer", "http", "platform"}},
		{"invalid seed", validSettings + "seeds: [x]\n", Settings{}, []string{"seeds"}},
		{"negative grace", validSettings + "grace: -1s\n", Settings{}, []string{"grace"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := Load(writeSettings(t, test.text), test.flags)
			var errs Errors
			errors.As(err, &errs)
			if (err != nil) != (len(test.want) > 0) || len(errs) != len(test.want) {
				t.Fatalf("got error %v, want errors about %v", err, test.want)
			}
			for i, settingErr := range errs {
				if settingErr.Setting != test.want[i] {
					t.Errorf("error %d is about %s, want %s", i, settingErr.Setting, test.want[i])
				}
			}
		})
	}
}

func TestLoadRejectsUnknownSetting(t *testing.T) {
	_, err := Load(writeSettings(t, validSettings+"colour: red\n"), Settings{})
	var settingErr *Error
	if !errors.As(err, &settingErr) {
		t.Errorf("got error %v, want an *Error", err)
	}
}

func TestLoadExamples(t *testing.T) {
	for _, name := range []string{"node-1", "node-2", "node-3"} {
		if _, err := Load("../../examples/separate/"+name+".yaml", Settings{}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against input on which Parse, or Check of the parsed settings, panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("grace: 1x"))
	f.Add([]byte("seeds: {a: b}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var parsed Settings
		if Parse(data, &parsed) == nil {
			_ = parsed.Check()
		}
	})
}
