// Package replica is a stand-in for the replicas of the users' platform: model
// engines that stream events under weight versions and take orders, and
// services that answer plain requests. It records what it ran, so that tests
// can judge the nodes by what replicas saw. Its faults are those that the
// protocol's page names.
package replica
