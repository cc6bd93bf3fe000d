package test

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// Each check of the soak must report the history that violates it, and no other check
// must report that history.
func TestSoakChecksDetectViolations(t *testing.T) {
	now := time.Now()
	valid := itemResult{ID: "i", State: "succeeded", Message: replica.Text("i"), Score: "s", Versions: []int64{3}}
	changed := func(change func(*itemResult)) itemResult {
		result := valid
		change(&result)
		return result
	}
	request := func(once bool, status int) func(*soakRecord) {
		return func(r *soakRecord) {
			r.recordRequest(&soakRequest{id: "a", target: "/x", body: "b", once: once, status: status})
		}
	}
	run := replica.Run{ID: "a", Target: "/x", Body: "b", At: now}
	runs := func(prepare func(*soakRecord), seen ...replica.Run) func(*soakRecord) {
		return func(r *soakRecord) { prepare(r); r.checkRuns(seen) }
	}
	page := func(results ...itemResult) func(*soakRecord) {
		return func(r *soakRecord) { r.checkPage(&soakJob{id: "j", minVersion: 3, items: 9}, 0, 0, results, "node") }
	}
	orders := func(heals []time.Time, seen ...replica.ReceivedOrder) func(*soakRecord) {
		return func(r *soakRecord) { r.checkOrders("engine", seen, heals, map[uint64]string{}) }
	}
	at := func(id string, after time.Duration) replica.Run { return replica.Run{ID: id, At: now.Add(after)} }
	disturbed := func(replica string, from, to time.Duration) *disturbance {
		return &disturbance{replica: replica, from: now.Add(from), to: now.Add(to)}
	}
	ended := func(run replica.Run, disturbances ...*disturbance) func(*soakRecord) {
		return func(r *soakRecord) {
			r.jobs, r.disturbances = []*soakJob{{id: "j", endedAt: now}, {id: "k"}}, disturbances
			r.checkEnded("engine", []replica.Run{run})
		}
	}
	for _, test := range []struct {
		name, rule string
		apply      func(*soakRecord)
	}{
		{"a correct run", "", runs(request(true, 200), run)},
		{"a request that was not sent", "UNASKED", runs(func(*soakRecord) {}, run)},
		{"a request with another body", "UNASKED", runs(request(false, 200), replica.Run{ID: "a", Target: "/x", Body: "c"})},
		{"a safe request that ran twice", "", runs(request(false, 200), run, run)},
		{"an unsafe request that ran twice", "TWICE", runs(request(true, 200), run, run)},
		{"an unsafe request that was refused and ran", "REFUSED", runs(request(true, 503), run)},
		{"an unsafe request whose response was lost", "", runs(request(true, 502), run)},
		{"a refused job whose item ran", "REFUSED", func(r *soakRecord) {
			r.jobs = []*soakJob{{id: "j", refused: true}}
			r.checkRefused([]replica.Run{{ID: "j.1"}})
		}},
		{"correct results", "", page(valid, changed(func(l *itemResult) { l.ID, l.Message = "k", replica.Text("k") }))},
		{"an item listed twice", "TWICE", page(valid, valid)},
		{"a position with another result", "TWICE", func(r *soakRecord) {
			job := &soakJob{id: "j", minVersion: 3}
			r.checkPage(job, 0, 0, []itemResult{valid}, "one")
			r.checkPage(job, 0, 1, []itemResult{changed(func(l *itemResult) { l.Message = "other" })}, "two")
		}},
		{"a position that held a result and is empty", "LOST", func(r *soakRecord) {
			job := &soakJob{id: "j", minVersion: 3, endedAt: now}
			r.checkPage(job, 0, 0, []itemResult{valid}, "one")
			r.checkPage(job, 0, 1, nil, "two")
		}},
		{"a position that got its result after the page was requested", "", func(r *soakRecord) {
			job := &soakJob{id: "j", minVersion: 3}
			r.checkPage(job, 0, 0, []itemResult{valid}, "one")
			r.checkPage(job, 0, 0, nil, "two")
		}},
		{"an empty page after the last position", "", func(r *soakRecord) {
			job := &soakJob{id: "j", minVersion: 3}
			r.checkPage(job, 0, 0, []itemResult{valid}, "one")
			r.checkPage(job, 1, 1, nil, "two")
		}},
		{"an item long after its job's end", "ENDED", ended(at("j.1", cancelBound+time.Second))},
		{"a scorer call long after its job's end", "ENDED", ended(at("score.j.1", cancelBound+time.Second))},
		{"an item soon after its job's end", "", ended(at("j.1", cancelBound-time.Second))},
		{"an item of a running job", "", ended(at("k.1", cancelBound+time.Second))},
		{"an item while a node is paused", "", ended(at("j.1", cancelBound+time.Second), disturbed("", time.Second, 4*time.Second))},
		{"an item soon after a node was resumed", "", ended(at("j.1", 4*time.Second+cancelBound/2), disturbed("", -time.Second, 4*time.Second))},
		{"an item long after a node was resumed", "ENDED", ended(at("j.1", 5*time.Second+cancelBound), disturbed("", -time.Second, 4*time.Second))},
		{"an item after a pause that was before the end", "ENDED", ended(at("j.1", cancelBound+time.Second), disturbed("", -2*time.Second, -time.Second))},
		{"an item before a pause that was after the bound", "ENDED", ended(at("j.1", cancelBound+2*time.Second), disturbed("", cancelBound+time.Second, cancelBound+3*time.Second))},
		{"an item delayed by a frozen link", "", ended(at("j.1", cancelBound+time.Second), disturbed("engine", time.Second, cancelBound+time.Second))},
		{"an item while another replica's link is frozen", "ENDED", ended(at("j.1", cancelBound+time.Second), disturbed("other", time.Second, cancelBound+time.Second))},
		{"a text with a gap", "ORDER", page(changed(func(l *itemResult) { l.Message = "i-1" }))},
		{"a result without a score", "MIXED", page(changed(func(l *itemResult) { l.Score = "" }))},
		{"a result without versions", "VERSION", page(changed(func(l *itemResult) { l.Versions = nil }))},
		{"a result of an old weight version", "VERSION", page(changed(func(l *itemResult) { l.Versions = []int64{2, 3} }))},
		{"a fencing token that decreases", "ONE", orders(nil, replica.ReceivedOrder{Owner: "a", Token: 5, At: now}, replica.ReceivedOrder{Owner: "b", Token: 4, At: now})},
		{"an order that arrives late over a healed link", "", orders([]time.Time{now}, replica.ReceivedOrder{Owner: "a", Token: 5, At: now},
			replica.ReceivedOrder{Owner: "b", Token: 4, At: now.Add(healGrace / 2)})},
		{"a fencing token of two owners", "ONE", orders(nil, replica.ReceivedOrder{Owner: "a", Token: 5, At: now}, replica.ReceivedOrder{Owner: "b", Token: 5, At: now})},
		{"a late request at a draining replica", "DRAIN", func(r *soakRecord) {
			r.checkDrained("app", now, time.Second, []replica.Run{{ID: "a", At: now.Add(2 * time.Second)}})
		}},
		{"requests at a draining replica before the bound", "", func(r *soakRecord) {
			r.checkDrained("app", now, time.Second, []replica.Run{{ID: "a", At: now.Add(time.Second / 2)}})
		}},
		{"a request in an evacuated zone", "EVAC", func(r *soakRecord) {
			r.checkEvacuated("app", now, now.Add(2*time.Second), []replica.Run{{ID: "a", At: now.Add(time.Second)}})
		}},
		{"requests before the bound of an evacuation and after its end", "", func(r *soakRecord) {
			r.checkEvacuated("app", now, now.Add(time.Second), []replica.Run{{ID: "a", At: now.Add(-time.Second)}, {ID: "b", At: now.Add(2 * time.Second)}})
		}},
	} {
		record := newSoakRecord()
		test.apply(record)
		found := ""
		for _, finding := range record.findings {
			found = finding.rule
		}
		if found != test.rule || len(record.findings) > 1 {
			t.Errorf("%s: findings %v, want rule %q", test.name, record.findings, test.rule)
		}
	}
}
