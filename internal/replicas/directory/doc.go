// Package directory is what a node believes of the world outside: the
// configuration in force, the replicas that serve, and the weight versions
// that trainers have named. Informers keep it current by listing and watching
// the metadata store; readers take an immutable View from an atomic pointer.
//
// Two things never go back within a process: the configuration's version, and
// a replica once seen draining or gone under its id.
package directory
