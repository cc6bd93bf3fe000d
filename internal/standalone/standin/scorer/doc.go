// Package scorer stands in for the services that judge samples: the score is a
// digest of the sample, after a given delay.
package scorer
