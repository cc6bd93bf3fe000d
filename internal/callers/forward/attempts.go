package forward

import "time"

// attemptRecord describes one attempt to run a request at a replica.
type attemptRecord struct {
	replica string
	at      time.Time
	// ran is set if the replica's response shows that it ran the request, notRun if
	// the replica certainly did not run it.
	ran, notRun bool
}

// attemptLog lists the attempts of one request, oldest first.
type attemptLog []*attemptRecord

// recordSent adds an attempt that starts now.
func (l *attemptLog) recordSent(replica string) {
	*l = append(*l, &attemptRecord{replica: replica, at: time.Now()})
}

// recordEnd records the outcome of the most recent attempt at a replica.
func (l attemptLog) recordEnd(replica string, ran, notRun bool) {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].replica == replica {
			l[i].ran, l[i].notRun = ran, notRun
			return
		}
	}
}

// startedAt returns when the request started to run: the start of the first attempt that
// certainly ran, or otherwise of the first one that may have run. It returns false if no
// replica can have run the request.
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
