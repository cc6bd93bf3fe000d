// Package platform stands in for what the platform gives: the object API, the
// machine list, which lags, and the weight store, which is rate-limited. It
// can be switched to fail as the real one does.
package platform
