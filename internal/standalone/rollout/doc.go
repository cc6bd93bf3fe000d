// Package rollout generates the samples for the steps of one trainer. The
// holder of the trainer's lease runs a Scheduler. It dispatches samples to
// engines, resumes or moves them, has them scored, stores each on two sample
// stores in different zones, and seals the step with a manifest that a quorum
// register decides once for each revision. All state except the prompts can be
// rebuilt from the stores and the register; the trainer submits the prompts
// again.
//
// The policies are in policy.go (order, priority, look-ahead, engines that may
// start a sample) and taildecision.go (moving and hedging the last samples).
//
// A step passes through the phases recovering, generating, sealing and sealed.
// A sample that is too stale at delivery reopens the step under a new revision.
package rollout
