package forward

import "time"

// attemptRecord is one attempt at a replica.
type attemptRecord struct {
	replica string
	at      time.Time
	// ran is set once the replica's answer shows that it ran the request, and
	// notRun once it is certain that it did not.
	ran, notRun bool
}

// attemptLog holds the attempts of one request, oldest first.
type attemptLog []*attemptRecord

// recordSent adds an attempt that starts now.
func (l *attemptLog) recordSent(replica string) {
	*l = append(*l, &attemptRecord{replica: replica, at: time.Now()})
}

// recordEnd records how the newest attempt at a replica ended.
func (l attemptLog) recordEnd(replica string, ran, notRun bool) {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].replica == replica {
			l[i].ran, l[i].notRun = ran, notRun
			return
		}
	}
}

// startedAt returns when the request began to run: with the first attempt that ran for
// certain, else with the first that may have. False means that no replica can have
// run it.
func (l attemptLog) startedAt() (time.Time, bool) {
	var possible *attemptRecord
	for _, attempt := range l {
		if attempt.ran {
			return attempt.at, true
		}
		if possible == nil && !attempt.notRun {
			possible = attempt
		}
	}
	if possible == nil {
		return time.Time{}, false
	}
	return possible.at, true
}
