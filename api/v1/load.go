package v1

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"

	"go.yaml.in/yaml/v3"
)

// LoadFolder reads all .yaml and .yml files of a folder, sets defaults and validates the
// resulting Set. It returns all findings together as FieldErrors.
func LoadFolder(folder string) (*Set, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, &ReadError{Path: folder, Cause: err}
	}
	loader := newLoader()
	for _, entry := range entries {
		if entry.IsDir() || !isYAML(entry.Name()) {
			continue
		}
		path := filepath.Join(folder, entry.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, &ReadError{Path: path, Cause: err}
		}
		loader.loadFile(path, data)
	}
	return loader.finish()
}

// Load reads objects from YAML and sets defaults. It does not call Set.Validate.
func Load(file string, data []byte) (*Set, error) {
	loader := newLoader()
	loader.loadFile(file, data)
	if len(loader.findings) > 0 {
		return nil, loader.findings
	}
	return loader.set, nil
}

func isYAML(name string) bool {
	return strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml")
}

// loader collects objects, the source of each, and findings.
type loader struct {
	set      *Set
	sources  map[Key]source
	findings FieldErrors
}

// source is the location at which an object was declared.
type source struct {
	file string
	node *yaml.Node
}

func newLoader() *loader {
	return &loader{set: NewSet(), sources: map[Key]source{}}
}

func (l *loader) loadFile(path string, data []byte) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			l.findings = append(l.findings, &FieldError{File: path, Path: "(document)", Found: err.Error(), Allowed: "well-formed YAML"})
			return
		}
		if len(document.Content) == 1 && document.Content[0].Kind == yaml.MappingNode {
			l.loadObject(path, document.Content[0])
			continue
		}
		l.findings = append(l.findings, &FieldError{File: path, Line: document.Line, Path: "(document)", Found: "no mapping", Allowed: "an object with apiVersion, kind, metadata and spec"})
	}
}

func (l *loader) loadObject(path string, node *yaml.Node) {
	kind := Kind(scalarAt(node, "kind"))
	object := newObject(kind)
	key := Key{Kind: kind, Name: scalarAt(childOf(node, "metadata"), "name")}
	if object == nil {
		l.addFinding(path, lineOf(node, "kind"), key, "kind", string(kind), "one of Engine, Model, WeightVersion, TrafficGroup, RoutingRule, Trainer, Limit")
		return
	}
	if version := scalarAt(node, "apiVersion"); version != APIVersion {
		l.addFinding(path, lineOf(node, "apiVersion"), key, "apiVersion", version, APIVersion)
	}
	checker := &shapeChecker{file: path, object: key}
	checker.check(node, typeOf(object), "")
	l.findings = append(l.findings, checker.findings...)
	if len(checker.findings) > 0 {
		return
	}
	if earlier, exists := l.sources[key]; exists {
		l.addFinding(path, node.Line, key, "metadata.name", key.Name, "a name used once for each kind; also declared in "+earlier.file)
		return
	}
	if err := decodeInto(node, object); err != nil {
		l.addFinding(path, node.Line, key, "(object)", err.Error(), "values of the declared types")
		return
	}
	object.SetDefaults()
	l.sources[key] = source{file: path, node: node}
	l.set.objects[key] = object
}

func (l *loader) addFinding(file string, line int, key Key, path, found, allowed string) {
	l.findings = append(l.findings, &FieldError{File: file, Line: line, Object: key, Path: path, Found: found, Allowed: allowed})
}

// finish validates the set and adds file and line to the findings of the validation.
func (l *loader) finish() (*Set, error) {
	for _, finding := range l.set.Validate() {
		declared := l.sources[finding.Object]
		finding.File = declared.file
		finding.Line = lineOf(declared.node, finding.Path)
		l.findings = append(l.findings, finding)
	}
	if len(l.findings) > 0 {
		return nil, l.findings
	}
	return l.set, nil
}

func decodeInto(node *yaml.Node, object Object) error {
	var plain any
	if err := node.Decode(&plain); err != nil {
		return err
	}
	data, err := json.Marshal(plain)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, object)
}
