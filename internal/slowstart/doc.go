// Package slowstart keeps what a whole deployment sends to a replica that has just
// started below what the replica bears, until it has warmed up.
package slowstart
