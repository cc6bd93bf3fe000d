// Package devcluster starts a whole deployment of the standalone stack in one
// process: the platform, engines, a scorer and nodes, each on ports that the
// system chooses, from a folder of declared objects. It serves pathtally-dev
// alone; tests of real processes are in folder test.
package devcluster
