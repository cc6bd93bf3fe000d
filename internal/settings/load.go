package settings

import (
	"os"

	"sigs.k8s.io/yaml"
)

// Load reads the settings file at path, or none if path is empty, applies the flags, sets
// defaults and validates the result. The error is an *Error if the file cannot be read or
// parsed, and Errors if settings are invalid.
func Load(path string, flags Settings) (Settings, error) {
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
	loaded.applyFlags(flags)
	if loaded.Grace == 0 {
		loaded.Grace = defaultGrace
	}
	if errs := loaded.Check(); len(errs) > 0 {
		return loaded, errs
	}
	return loaded, nil
}

// Parse decodes settings from YAML. The error is an *Error, also for unknown names.
func Parse(data []byte, into *Settings) error {
	if err := yaml.UnmarshalStrict(data, into); err != nil {
		return &Error{Setting: "(file)", Found: err.Error(), Allowed: "YAML with the documented settings only"}
	}
	return nil
}
