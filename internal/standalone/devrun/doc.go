// Package devrun is the run behind pathtally-dev: a deployment in one process,
// live traffic and training on it, and a summary counted at the callers, the
// trainers and the engines. Summary.Broken names the promises that were broken.
package devrun
