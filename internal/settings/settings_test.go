package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

const good = "node: n\nzone: z\nregion: r\npeer: 127.0.0.1:1\nhttp: 127.0.0.1:2\nplatform: 127.0.0.1:3\n"

func TestLoad(t *testing.T) {
	cases := []struct {
		name, text string
		given      Settings
		wrong      []string
	}{
		{"good", good, Settings{}, nil},
		{"flag goes before the file", strings.Replace(good, "node: n", "node: N", 1), Settings{Node: "other"}, nil},
		{"wrong address", strings.Replace(good, "127.0.0.1:1", "localhost:1", 1), Settings{}, []string{"peer"}},
		{"everything missing", "{}", Settings{}, []string{"node", "zone", "region", "peer", "http", "platform"}},
		{"wrong seed", good + "seeds: [x]\n", Settings{}, []string{"seeds"}},
		{"negative grace", good + "grace: -1s\n", Settings{}, []string{"grace"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := Load(write(t, test.text), test.given)
			var findings Errors
			errors.As(err, &findings)
			if (err != nil) != (len(test.wrong) > 0) || len(findings) != len(test.wrong) {
				t.Fatalf("got %v, expected findings about %v", err, test.wrong)
			}
			for i, finding := range findings {
				if finding.Setting != test.wrong[i] {
					t.Errorf("finding %d is about %s, expected %s", i, finding.Setting, test.wrong[i])
				}
			}
		})
	}
}

func TestUnknownSettingIsRefused(t *testing.T) {
	_, err := Load(write(t, good+"colour: red\n"), Settings{})
	var finding *Error
	if !errors.As(err, &finding) {
		t.Errorf("got %v", err)
	}
}

func TestExampleSettingsAreValid(t *testing.T) {
	for _, name := range []string{"node-1", "node-2", "node-3"} {
		if _, err := Load("../../examples/separate/"+name+".yaml", Settings{}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// FuzzParse checks that no text makes the reader panic, and that what it takes
// can be checked.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("grace: 1x"))
	f.Add([]byte("seeds: {a: b}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var parsed Settings
		if Parse(data, &parsed) == nil {
			_ = parsed.Check()
		}
	})
}
