package forward

import "time"

// Meter counts requests that began to run.
type Meter interface {
	// Began tells that a request of a tenant's, empty for none, began to run at an
	// instant.
	Began(tenant string, at time.Time)
}

// sending is one attempt as it matters to the meter.
type sending struct {
	replica string
	at      time.Time
	// ran is set once the replica's answer shows that it ran the request, and
	// notRun once it is certain that it did not.
	ran, notRun bool
}

// sendings are the attempts of one request, oldest first.
type sendings []*sending

// add notes an attempt that is sent now.
func (s *sendings) add(replica string) {
	*s = append(*s, &sending{replica: replica, at: time.Now()})
}

// ended notes how the newest attempt at a replica ended.
func (s sendings) ended(replica string, ran, notRun bool) {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i].replica == replica {
			s[i].ran, s[i].notRun = ran, notRun
			return
		}
	}
}

// began is when the request began to run: with the first attempt that ran for
// certain, else with the first that may have. False means that none can have.
func (s sendings) began() (time.Time, bool) {
	var possible *sending
	for _, sent := range s {
		if sent.ran {
			return sent.at, true
		}
		if possible == nil && !sent.notRun {
			possible = sent
		}
	}
	if possible == nil {
		return time.Time{}, false
	}
	return possible.at, true
}

// unmetered is the meter where usage is not reported.
type unmetered struct{}

// Began implements Meter.
func (unmetered) Began(string, time.Time) {}
