// Package standalone holds, in its sub-packages, the deployment that brings its own
// platform: its node program, its quorum, its rollout scheduler, its simulator and its
// stand-ins. It does not run where a metadata store is configured; there
// internal/instance is the node program.
//
// Only the programs (cmd and internal/command) choose between the two. Every other
// package outside this folder is free of imports from it, which a test of this package
// holds.
package standalone
