// Package v1 declares the objects that operators write: engines, models,
// weight versions, traffic groups, routing rules, trainers and limits. Each
// kind has its defaults and its validation beside its type. A Set is a
// validated whole; a configuration generation is one Set with a number.
package v1
