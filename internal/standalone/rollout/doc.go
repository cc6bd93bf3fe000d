// Package rollout fills the steps of one trainer with samples. The holder of
// the trainer's lease runs a Scheduler: it dispatches samples to engines,
// resumes or moves them, has them scored, stores each on two sample stores in
// different zones, and seals the step with a manifest that a quorum register
// decides once for each revision. Everything but the prompts can be rebuilt from the stores and the
// register; the prompts come again from the trainer.
package rollout
