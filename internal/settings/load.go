package settings

import (
	"os"

	"sigs.k8s.io/yaml"
)

// Load reads the file at a path, or none if it is empty, lays the flags that were
// given over it, fills in defaults and checks the result. Its error is an *Error
// for a file that cannot be read, and Errors for settings that cannot be used.
func Load(path string, given Settings) (Settings, error) {
	loaded := Settings{}
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return loaded, &Error{Setting: "(file)", Found: path, Allowed: "a readable settings file: " + err.Error()}
		}
		if err := Parse(data, &loaded); err != nil {
			return loaded, err
		}
	}
	loaded.overlay(given)
	if loaded.Grace == 0 {
		loaded.Grace = defaultGrace
	}
	if findings := loaded.Check(); len(findings) > 0 {
		return loaded, findings
	}
	return loaded, nil
}

// Parse reads settings from YAML. Unknown names are refused with an *Error.
func Parse(data []byte, into *Settings) error {
	if err := yaml.UnmarshalStrict(data, into); err != nil {
		return &Error{Setting: "(file)", Found: err.Error(), Allowed: "YAML with the documented settings only"}
	}
	return nil
}
