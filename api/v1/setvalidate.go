package v1

import "regexp"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,98}[a-z0-9])?$`)

// Validate validates all objects and the references between them. It returns all findings,
// ordered by object.
func (s *Set) Validate() FieldErrors {
	var findings FieldErrors
	for _, key := range s.Keys() {
		report := &Report{object: key}
		object := s.objects[key]
		if !namePattern.MatchString(key.Name) {
			report.Add("metadata.name", key.Name, "1 to 100 lower-case letters, digits, dots and dashes")
		}
		object.Validate(report)
		s.validateReferences(object, report)
		findings = append(findings, report.findings...)
	}
	return findings
}

func (s *Set) validateReferences(object Object, report *Report) {
	switch typed := object.(type) {
	case *Engine:
		s.requireModel(report, typed.Spec.Model)
	case *WeightVersion:
		s.requireModel(report, typed.Spec.Model)
	case *TrafficGroup:
		s.requireModel(report, typed.Spec.Model)
	case *Trainer:
		s.requireModel(report, typed.Spec.Model)
		requireMatch[*Engine](s, report, "spec.engines", typed.Spec.Engines)
	case *RoutingRule:
		requireMatch[*TrafficGroup](s, report, "spec.groups", typed.Spec.Groups)
		requireMatch[*Engine](s, report, "spec.engines", typed.Spec.Engines)
	case *Limit:
		requireMatch[*TrafficGroup](s, report, "spec.groups", typed.Spec.Groups)
	}
}

func (s *Set) requireModel(report *Report, name string) {
	if name == "" {
		return
	}
	if s.objects[Key{Kind: KindModel, Name: name}] == nil {
		report.Add("spec.model", name, "the name of a declared Model")
	}
}

func requireMatch[T Object](s *Set, report *Report, path, selector string) {
	for _, object := range All[T](s) {
		if Matches(selector, object) {
			return
		}
	}
	report.Add(path, selector, "a selector that matches at least one object")
}
