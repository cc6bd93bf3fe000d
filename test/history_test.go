package test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

// historyJobs is the number of ended jobs in the store of TestStartDoesNotWaitForHistory.
var historyJobs = flag.Int64("history.jobs", 100_000, "ended batch jobs in the store when the nodes start")

const (
	// historyPageLength is the number of objects in a page of the listing, as of the users' store.
	historyPageLength = 500
	// historyMemoryMB bounds the peak memory of a node: the smallest machines have 284 MB.
	historyMemoryMB = 284
	// listingTimeout is the timeout for a listing of all jobs.
	listingTimeout = 2 * time.Minute
)

// history serves a metadata store that also lists many batch jobs that ended long ago. Their names
// precede those of the jobs that the nodes submit.
type history struct {
	next http.Handler
	// jobs is the number of jobs, 0 until they are to be listed.
	jobs atomic.Int64
	// lastPage is closed once the last page may be served.
	lastPage chan struct{}
	// pages counts the pages served, waiting those that wait for lastPage.
	pages, waiting atomic.Int64
	// listedAt is when a node first asked for the last page, in Unix nanoseconds, 0 before.
	listedAt atomic.Int64
	record   []byte
}

func newHistory(t *testing.T) *history {
	t.Helper()
	record, err := json.Marshal(jobstore.Record{
		Owner: jobstore.Owner{Node: "node-0", Incarnation: 1}, Epoch: 1, Route: "drafts", Host: draftHost, Parts: 1,
		Digest: strings.Repeat("5a", 32), Items: 56, AcceptedMs: time.Now().Add(-24 * time.Hour).UnixMilli(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return &history{lastPage: make(chan struct{}), record: record}
}

func historyName(number int64) string { return fmt.Sprintf("%016x", number) }

// ServeHTTP implements http.Handler.
func (h *history) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	isList := request.Method == http.MethodGet && strings.HasSuffix(request.URL.Path, "/"+jobstore.KindJobs) && !query.Has("watch")
	if !isList || h.jobs.Load() == 0 {
		h.next.ServeHTTP(writer, request)
		return
	}
	var first int64
	if after := query.Get("sinceRev"); after != "" {
		if _, err := fmt.Sscanf(after, "%016x", &first); err != nil || after != historyName(first) {
			h.next.ServeHTTP(writer, request)
			return
		}
		first++
	}
	if first >= h.jobs.Load() {
		h.listedAt.CompareAndSwap(0, time.Now().UnixNano())
		h.waiting.Add(1)
		select {
		case <-h.lastPage:
		case <-request.Context().Done():
			return
		}
		h.next.ServeHTTP(writer, request)
		return
	}
	h.pages.Add(1)
	h.writePage(writer, first, h.revision())
}

// revision returns the revision of the store.
func (h *history) revision() uint64 {
	response := httptest.NewRecorder()
	h.next.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/-/objects/none", nil))
	var page struct{ At uint64 }
	if err := json.Unmarshal(response.Body.Bytes(), &page); err != nil {
		panic(err)
	}
	return page.At
}

// writePage writes the page that begins with a job. There is always another page.
func (h *history) writePage(writer http.ResponseWriter, first int64, revision uint64) {
	writer.Header().Set("Content-Type", "application/json")
	fmt.Fprint(writer, `{"requests":[`)
	for number := first; number < min(first+historyPageLength, h.jobs.Load()); number++ {
		if number > first {
			fmt.Fprint(writer, ",")
		}
		fmt.Fprintf(writer, `{"metadata":{"name":"%s","revision":%d},"spec":%s,"status":{"ended":true}}`, historyName(number), number+1, h.record)
	}
	fmt.Fprintf(writer, `],"more":true,"at":%d}`, revision)
}

// Guards against nodes that are not ready, or leave open jobs alone, until they have read all jobs that
// there ever were, and against memory that grows with them.
func TestStartDoesNotWaitForHistory(t *testing.T) {
	const nodes, items = 2, 16
	old := newHistory(t)
	d := deployPlatform(t, deploymentSpec{nodes: nodes, engines: 2, apps: 1, eventInterval: 300 * time.Millisecond, wrapStore: func(next http.Handler) http.Handler {
		old.next = next
		return old
	}})
	d.submit(d.nodes[0], "job", items, 1)
	old.jobs.Store(*historyJobs)
	for _, node := range d.nodes {
		node.signal(syscall.SIGKILL)
		<-node.exited
	}
	d.nodes = nil
	began := time.Now()
	for number := range nodes {
		d.startNode(number)
	}
	for _, node := range d.nodes {
		d.waitReady(node)
	}
	ready := time.Since(began)
	d.eventually("the open job to be taken over", func() bool {
		return d.nodes[0].find("batch job taken over") != nil || d.nodes[1].find("batch job taken over") != nil
	})
	d.checkResults(d.read(func() *platformNode { return d.nodes[1] }, "job", items), items, 1)
	finished := time.Since(began)
	for old.waiting.Load() < nodes {
		if time.Since(began) > listingTimeout {
			t.Fatal("timed out waiting for the nodes to ask for the last page")
		}
		time.Sleep(pollInterval)
	}
	listed := time.Unix(0, old.listedAt.Load()).Sub(began)
	for _, node := range d.nodes {
		if node.find(`"msg":"batch jobs read"`) != nil {
			t.Error("the listing has ended, so the test proves nothing")
		}
	}
	close(old.lastPage)
	for _, node := range d.nodes {
		d.eventually("the listing to end", func() bool {
			return node.find(`"msg":"batch jobs read"`, fmt.Sprintf(`"ended":%d`, *historyJobs)) != nil
		})
		if peak := node.peakMemoryMB(); peak > historyMemoryMB {
			t.Errorf("peak memory %d MB of %d MB", peak, historyMemoryMB)
		}
	}
	t.Logf("%d ended jobs: ready after %d ms, open job done after %d ms, all listed after %d ms, %d pages, peak memory %d and %d MB",
		*historyJobs, ready.Milliseconds(), finished.Milliseconds(), listed.Milliseconds(), old.pages.Load(), d.nodes[0].peakMemoryMB(), d.nodes[1].peakMemoryMB())
}
