// Package rollout fills the steps of one trainer with samples. The holder of
// the trainer's lease runs a Scheduler: it dispatches samples to engines,
// resumes or moves them, has them scored, stores each on two sample stores in
// different zones, and seals the step with a manifest that a quorum register
// decides once for each revision. Everything but the prompts can be rebuilt from
// the stores and the register; the prompts come again from the trainer.
//
// The rules are in policy.go (order, urgency, look-ahead, which engines may start
// a sample) and taildecision.go (moving and racing the last samples).
//
// A step goes through recovering, generating, sealing and sealed; a sample that
// is found too old at the hand-over opens the step again under a new revision.
package rollout
