// Package v1 defines the objects that operators declare: engines, models, weight versions,
// traffic groups, routing rules, trainers and limits. Each kind sets its own defaults and
// validates itself; Set.Validate also checks the references between objects. A configuration
// generation is a numbered Set.
package v1
