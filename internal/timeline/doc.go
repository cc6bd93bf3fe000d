// Package timeline reads the JSON log lines of nodes and reconstructs how the
// time of each trainer's step went: when it was accepted, listed and ended, which
// item it waited for at the end and why, and the shortest time that it could have
// taken with all lengths known beforehand.
//
// It owns no state and changes nothing. It relies on the messages and keys that
// packages batch, directory and weightorders log: a test checks that each message
// it reads is still in their code. Lines that it does not know are skipped, so a
// log may hold anything else.
package timeline
