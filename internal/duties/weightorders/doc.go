// Package weightorders brings the weight versions that trainers name onto the
// replicas. One node at a time gives orders, each under a permit of the duty
// lease (package duty). Where more
// loads are to be done than may run at once, the model with the smallest part of
// its replicas current comes first.
package weightorders
