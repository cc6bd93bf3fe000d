package test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/standin/metastore"
	"github.com/pathtally/pathtally/standin/replica"
)

// The reads of the soak must detect a result or a job that was read before and is gone.
func TestSoakReadsDetectLostResults(t *testing.T) {
	for _, test := range []struct {
		name, rule string
		// shown returns how many results a read returns after a number of earlier reads;
		// negative if the job is not found.
		shown func(before int) int
	}{
		{"a result that stays", "", func(int) int { return 1 }},
		{"a result that is added later", "", func(before int) int { return min(before, 1) }},
		{"a result that is gone", "LOST", func(before int) int { return max(0, 1-before) }},
		{"a job that is gone", "LOST", func(before int) int { return 1 - 2*before }},
	} {
		reads := 0
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			results := []itemResult{{ID: "j.0", State: "succeeded", Message: replica.Text("j.0"), Score: "s", Versions: []int64{3}}}
			count := test.shown(reads)
			reads++
			if count < 0 {
				writer.WriteHeader(http.StatusNotFound)
				return
			}
			from, _ := strconv.Atoi(request.URL.Query().Get("sinceRev"))
			page := results[min(from, count):count]
			json.NewEncoder(writer).Encode(map[string]any{"total": 9, "nextToken": from + len(page), "results": page})
		}))
		defer server.Close()
		job := &soakJob{id: "j", items: 9, minVersion: 3, accepted: time.Now(), endedAt: time.Now()}
		node := &soakNode{name: "node", current: &platformNode{http: strings.TrimPrefix(server.URL, "http://")}}
		s := &soakRun{record: newSoakRecord(), nodes: []*soakNode{node}}
		s.record.jobs = []*soakJob{job}
		s.readRemaining(node, job)
		reads = max(reads, 1)
		s.verifyAllResults()
		found := map[string]bool{}
		for _, finding := range s.record.findings {
			found[finding.rule] = true
		}
		if len(found) > 1 || (test.rule != "") != (len(found) == 1) || (test.rule != "" && !found[test.rule]) {
			t.Errorf("%s: findings %v, want rule %q", test.name, s.record.findings, test.rule)
		}
	}
}

// A delayed call must be found by the job of its object, and only while it is in progress.
func TestSlowCallsAreFoundByJob(t *testing.T) {
	var slow slowCalls
	slow.add(metastore.Call{Verb: "create", Kind: jobstore.KindResults, Name: "job1-2-000003"}, time.Minute)
	slow.add(metastore.Call{Verb: "get", Kind: jobstore.KindPayloads, Name: "job1-2-0000"}, -time.Minute)
	slow.add(metastore.Call{Verb: "list", Kind: "servers"}, time.Minute)
	for _, test := range []struct {
		kind, verb, job string
		on              bool
	}{
		{jobstore.KindResults, "create", "job1-2", true},
		{jobstore.KindResults, "create", "job1", false},
		{jobstore.KindResults, "get", "job1-2", false},
		{jobstore.KindPayloads, "get", "job1-2", false},
	} {
		if on := slow.inProgress(test.kind, test.verb, test.job); on != test.on {
			t.Errorf("%s of %s for job %s: in progress %v", test.verb, test.kind, test.job, on)
		}
	}
}
