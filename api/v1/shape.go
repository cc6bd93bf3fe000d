package v1

import (
	"encoding/json"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// shapeChecker compares a YAML tree with a Go type and records unknown fields and values of
// the wrong type, each with its line.
type shapeChecker struct {
	file     string
	object   Key
	findings FieldErrors
}

func typeOf(object Object) reflect.Type { return reflect.TypeOf(object).Elem() }

func (c *shapeChecker) check(node *yaml.Node, want reflect.Type, path string) {
	switch want.Kind() {
	case reflect.Struct:
		c.checkStruct(node, want, path)
	case reflect.Map:
		c.checkMap(node, want, path)
	default:
		c.checkScalar(node, want, path)
	}
}

func (c *shapeChecker) checkStruct(node *yaml.Node, want reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		c.addFinding(node, path, node.Value, "a mapping")
		return
	}
	fields := fieldsOf(want)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i].Value
		fieldPath := joinPath(path, name)
		field, known := fields[name]
		if !known && fieldPath == "status" {
			continue
		}
		if !known {
			c.addFinding(node.Content[i], fieldPath, name, "a declared field; "+name+" is unknown here")
			continue
		}
		c.check(node.Content[i+1], field, fieldPath)
	}
}

func (c *shapeChecker) checkMap(node *yaml.Node, want reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		c.addFinding(node, path, node.Value, "a mapping")
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		c.check(node.Content[i+1], want.Elem(), joinPath(path, node.Content[i].Value))
	}
}

func (c *shapeChecker) checkScalar(node *yaml.Node, want reflect.Type, path string) {
	if node.Kind != yaml.ScalarNode {
		c.addFinding(node, path, "a nested value", describeType(want))
		return
	}
	value := reflect.New(want)
	if unmarshaler, custom := value.Interface().(json.Unmarshaler); custom {
		quoted, _ := json.Marshal(node.Value)
		if err := unmarshaler.UnmarshalJSON(quoted); err != nil {
			c.addFinding(node, path, node.Value, "a duration with its unit, such as 2s")
		}
		return
	}
	if want.Kind() == reflect.String && node.Tag != "!!str" {
		c.addFinding(node, path, node.Value, "text; put it in quotes")
		return
	}
	if err := node.Decode(value.Interface()); err != nil {
		c.addFinding(node, path, node.Value, describeType(want))
	}
}

// describeType describes the allowed values of a type in an error message.
func describeType(want reflect.Type) string {
	switch want.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "a " + want.Kind().String()
}

func (c *shapeChecker) addFinding(node *yaml.Node, path, found, allowed string) {
	c.findings = append(c.findings, &FieldError{File: c.file, Line: node.Line, Object: c.object, Path: path, Found: found, Allowed: allowed})
}

// fieldsOf returns the types of a struct's fields by JSON name, including the fields of
// embedded structs.
func fieldsOf(want reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range want.NumField() {
		field := want.Field(i)
		if field.Anonymous {
			for name, inner := range fieldsOf(field.Type) {
				fields[name] = inner
			}
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	return fields
}

func joinPath(path, name string) string {
	if name == "" {
		name = `""`
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// childOf returns the value of a key of a mapping, or nil.
func childOf(node *yaml.Node, name string) *yaml.Node {
	if node == nil || node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1]
		}
	}
	return nil
}

// scalarAt returns the scalar value of a key of a mapping, or "".
func scalarAt(node *yaml.Node, name string) string {
	child := childOf(node, name)
	if child == nil {
		return ""
	}
	return child.Value
}

// lineOf returns the line of a field path or, if the field does not exist, of its nearest
// existing parent.
func lineOf(node *yaml.Node, path string) int {
	line := 0
	for _, name := range strings.Split(path, ".") {
		if node == nil {
			return line
		}
		line = node.Line
		node = childOf(node, name)
	}
	if node != nil {
		line = node.Line
	}
	return line
}
