package node

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Errors of a node.
var (
	// ErrNoScheduler means that no node is known to schedule for a trainer.
	ErrNoScheduler = merry.Sentinel("no node is known to schedule for the trainer")
	// ErrUnknownTrainer means that no such trainer is declared.
	ErrUnknownTrainer = merry.Sentinel("no such trainer is declared")
	// ErrNotReady means that no configuration is in force here.
	ErrNotReady = merry.Sentinel("no configuration is in force yet")
)

// RedirectError names the node that has the duty asked for.
type RedirectError struct {
	// Address is the node's HTTP address.
	Address string
}

// Error names the address.
func (e *RedirectError) Error() string { return fmt.Sprintf("ask the node at %s", e.Address) }
