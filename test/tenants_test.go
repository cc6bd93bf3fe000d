package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/replica"
)

// Keys of the tenants in these tests. Each is searched for in everything that
// the nodes write.
const (
	keyOfOne      = "k1-3f9a7c5e2b"
	otherKeyOfOne = "k2-88d1e4a06c"
	keyOfTwo      = "k3-c7720fb91d"
	sharedKey     = "k4-0a5be6f3d8"
	strangeKey    = "k5-e91c40d7a2"
)

var everyKey = []string{keyOfOne, otherKeyOfOne, keyOfTwo, sharedKey, strangeKey}

func twoTenants() []map[string]any {
	return []map[string]any{
		{"name": "one", "apiKeys": []string{keyOfOne, otherKeyOfOne, sharedKey}, "priority": 1},
		{"name": "two", "apiKeys": []string{keyOfTwo, sharedKey}, "priority": 0},
		{"name": "keyless", "apiKeys": []string{}},
	}
}

func bearing(key string) http.Header { return http.Header{"Authorization": {"Token " + key}} }

// ran returns what all replicas ran of one request.
func (d *platformDeployment) ran(id string) []replica.Run {
	var found []replica.Run
	for _, server := range append(d.engines, d.apps...) {
		for _, run := range server.Runs() {
			if run.ID == id {
				found = append(found, run)
			}
		}
	}
	return found
}

// checkNoKeyIsKept searches the logs of all nodes and the objects that they have
// stored for the keys of the test.
func (d *platformDeployment) checkNoKeyIsKept() {
	d.t.Helper()
	for number, node := range d.nodes {
		node.mutex.Lock()
		written := bytes.Clone(node.log.Bytes())
		node.mutex.Unlock()
		for _, key := range everyKey {
			if bytes.Contains(written, []byte(key)) {
				d.t.Errorf("node %d has logged a key", number)
			}
		}
		response, err := http.Get("http://" + node.metrics + "/metrics")
		if err != nil {
			continue
		}
		var figures bytes.Buffer
		figures.ReadFrom(response.Body)
		response.Body.Close()
		for _, key := range everyKey {
			if strings.Contains(figures.String(), key) {
				d.t.Errorf("node %d has a metric with a key", number)
			}
		}
	}
	objects := 0
	for _, kind := range []string{"batchjobs", "batchpayloads", "batchresults", "leases", "nodes", "usagewindows"} {
		page, err := d.store.List(context.Background(), kind, "", objectstore.Linearizable)
		if err != nil {
			d.t.Fatal(err)
		}
		for _, object := range page.Objects {
			objects++
			for _, key := range everyKey {
				if bytes.Contains(object.Spec, []byte(key)) || bytes.Contains(object.Status, []byte(key)) {
					d.t.Errorf("%s/%s holds a key", kind, object.Name)
				}
			}
		}
	}
	if objects == 0 {
		d.t.Error("no stored object was searched")
	}
}

func TestTenantsAreToldByTheirKeys(t *testing.T) {
	d := deployPlatform(t, shape{nodes: 2, engines: 2, apps: 2, eventInterval: time.Millisecond, tenants: twoTenants()})
	for number, test := range []struct {
		name   string
		target string
		header http.Header
		status int
		tenant string
	}{
		{"a key", "/live/a", bearing(keyOfOne), http.StatusOK, "one"},
		{"another key of the tenant", "/live/a", bearing(otherKeyOfOne), http.StatusOK, "one"},
		{"scheme in other letters", "/live/a", http.Header{"Authorization": {"token  " + keyOfTwo}}, http.StatusOK, "two"},
		{"a tenant that the caller claims", "/live/a", http.Header{"Authorization": {"Token " + keyOfTwo}, "Pathtally-Tenant": {"one"}}, http.StatusOK, "two"},
		{"a request that runs once", "/once/a", bearing(keyOfOne), http.StatusOK, "one"},
		{"a public route without a key", "/open/a", nil, http.StatusOK, ""},
		{"a public route with a key", "/open/a", http.Header{"Authorization": {"Token " + keyOfOne}, "Pathtally-Tenant": {"one"}}, http.StatusOK, ""},
		{"no key", "/live/a", nil, http.StatusUnauthorized, ""},
		{"only a claim", "/live/a", http.Header{"Pathtally-Tenant": {"one"}}, http.StatusUnauthorized, ""},
		{"two keys", "/live/a", http.Header{"Authorization": {"Token " + keyOfOne, "Token " + keyOfTwo}}, http.StatusUnauthorized, ""},
		{"two keys in one line", "/live/a", bearing(keyOfOne + ", Token " + keyOfTwo), http.StatusUnauthorized, ""},
		{"another scheme", "/live/a", http.Header{"Authorization": {"Basic " + keyOfOne}}, http.StatusUnauthorized, ""},
		{"no scheme", "/live/a", http.Header{"Authorization": {keyOfOne}}, http.StatusUnauthorized, ""},
		{"an empty value", "/live/a", http.Header{"Authorization": {""}}, http.StatusUnauthorized, ""},
		{"an empty key", "/live/a", bearing(""), http.StatusUnauthorized, ""},
		{"a huge key", "/live/a", bearing(strings.Repeat(strangeKey, 300)), http.StatusUnauthorized, ""},
		{"an unknown key", "/live/a", bearing(strangeKey), http.StatusUnauthorized, ""},
		{"a key of two tenants", "/live/a", bearing(sharedKey), http.StatusUnauthorized, ""},
		{"a stream without a key", "/chat/a", nil, http.StatusUnauthorized, ""},
		{"a stream", "/chat/a", bearing(keyOfTwo), http.StatusOK, "two"},
		{"no route", "/nowhere/a", bearing(keyOfOne), http.StatusNotFound, ""},
	} {
		id := fmt.Sprintf("tenants.%d", number)
		answer, err := d.send(d.nodes[number%2], http.MethodPost, liveHost, test.target, id, []byte("x"), test.header)
		if err != nil || answer.status != test.status {
			t.Errorf("%s: %+v, %v", test.name, answer, err)
		}
		runs := d.ran(id)
		if test.status != http.StatusOK && len(runs) > 0 {
			t.Errorf("%s: refused, and ran", test.name)
		}
		if test.status == http.StatusOK && len(runs) == 0 {
			t.Errorf("%s: answered, and ran nowhere", test.name)
		}
		for _, run := range runs {
			if run.Tenant != test.tenant || run.Credentials != "" {
				t.Errorf("%s: ran for %q with credentials %q", test.name, run.Tenant, run.Credentials)
			}
			if strings.HasPrefix(test.target, "/chat/") && run.Priority != "0" {
				t.Errorf("%s: ran with priority %q, want that of its tenant", test.name, run.Priority)
			}
		}
	}
	if d.nodes[0].find("ignoring invalid part of tenant declaration", `\"two\"`) == nil {
		t.Error("the shared key is not told")
	}
	d.submitAs(d.nodes[0], bearing(keyOfOne), "kept", 4, 1)
	d.checkNoKeyIsKept()
}

// A tenant's batch job is its own at every node, also after a takeover, and its
// items and reward calls run for that tenant.
func TestBatchJobsBelongToTheirTenants(t *testing.T) {
	d := deployPlatform(t, shape{nodes: 3, engines: 2, apps: 2, eventInterval: 15 * time.Millisecond, tenants: twoTenants()})
	const job, items = "owned", 24
	d.submitAs(d.nodes[0], bearing(keyOfOne), job, items, 1)
	expect := func(what string, node *platformNode, method, target string, header http.Header, status int) {
		t.Helper()
		d.eventually(what, func() bool {
			answer, err := d.send(node, method, draftHost, target, "asker", nil, header)
			if err == nil && answer.status == status {
				return true
			}
			if err == nil && answer.status != http.StatusServiceUnavailable {
				t.Fatalf("%s: status %d", what, answer.status)
			}
			return false
		})
	}
	for number, node := range d.nodes {
		for _, call := range []struct{ name, method, target string }{
			{"read", http.MethodGet, "/-/lots/" + job}, {"body", http.MethodGet, "/-/items/" + job + "?id=" + job + ".23"}, {"end", http.MethodDelete, "/-/lots/" + job},
		} {
			expect(fmt.Sprint(call.name, " without a key at ", number), node, call.method, call.target, nil, http.StatusUnauthorized)
			expect(fmt.Sprint(call.name, " by another tenant at ", number), node, call.method, call.target, bearing(keyOfTwo), http.StatusNotFound)
		}
		expect(fmt.Sprint("read by the tenant at ", number), node, http.MethodGet, "/-/lots/"+job, bearing(otherKeyOfOne), http.StatusOK)
	}
	body, err := json.Marshal(map[string]any{"model": draftModel, "requests": []map[string]any{draftItem(job, 0)}})
	if err != nil {
		t.Fatal(err)
	}
	for number, node := range d.nodes {
		if answer, err := d.send(node, http.MethodPost, draftHost, "/drafts/"+job, job, body, bearing(keyOfTwo)); err != nil || answer.status != http.StatusConflict {
			t.Errorf("the id of another tenant's job at %d: %+v, %v", number, answer, err)
		}
	}
	// The node that runs the job is lost.
	runner := -1
	for number, node := range d.nodes {
		if node.find("batch job started", `"epoch":1`) != nil {
			runner = number
		}
	}
	if runner < 0 {
		t.Fatal("no node has started the job")
	}
	d.nodes[runner].signal(syscall.SIGKILL)
	next := d.nodes[(runner+1)%3]
	results := d.readAs(func() *platformNode { return next }, bearing(otherKeyOfOne), job, items)
	d.check(results, items, 1)
	for number := range items {
		for _, id := range []string{fmt.Sprintf("%s.%d", job, number), fmt.Sprintf("score.%s.%d", job, number)} {
			runs := d.ran(id)
			if len(runs) == 0 {
				t.Errorf("%s ran nowhere", id)
			}
			for _, run := range runs {
				if run.Tenant != "one" || run.Credentials != "" {
					t.Errorf("%s ran for %q with credentials %q", id, run.Tenant, run.Credentials)
				}
				if !strings.HasPrefix(id, "score.") && run.Priority != "1" {
					t.Errorf("%s ran with priority %q, want that of its tenant", id, run.Priority)
				}
			}
		}
	}
	expect("the end by the tenant", next, http.MethodDelete, "/-/lots/"+job, bearing(keyOfOne), http.StatusOK)
	d.checkNoKeyIsKept()
}

// An item that names credentials would have them kept with the job.
func TestItemsMustNotCarryCredentials(t *testing.T) {
	d := deployPlatform(t, shape{nodes: 1, engines: 1, apps: 1, eventInterval: time.Millisecond, tenants: twoTenants()})
	item := draftItem("secretive", 0)
	item["headers"] = map[string]string{"authorization": "Token " + keyOfOne}
	body, err := json.Marshal(map[string]any{"model": draftModel, "requests": []map[string]any{item}})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := d.send(d.nodes[0], http.MethodPost, draftHost, "/drafts/secretive", "secretive", body, bearing(keyOfOne))
	if err != nil || answer.status != http.StatusBadRequest {
		t.Errorf("%+v, %v", answer, err)
	}
	if runs := d.ran("secretive.0"); len(runs) > 0 {
		t.Error("the item ran")
	}
	d.checkNoKeyIsKept()
}

// A key that is taken away is refused from then on, the other keys of its tenant
// go on, and so do the tenant's batch jobs.
func TestKeysAreTakenAway(t *testing.T) {
	d := deployPlatform(t, shape{nodes: 3, engines: 2, apps: 2, eventInterval: 10 * time.Millisecond, tenants: twoTenants()})
	const items = 16
	d.submitAs(d.nodes[0], bearing(keyOfOne), "going-on", items, 1)
	d.tenants = []map[string]any{{"name": "one", "apiKeys": []string{otherKeyOfOne}}, {"name": "two", "apiKeys": []string{keyOfTwo, strangeKey}}}
	d.configure(2)
	for number, node := range d.nodes {
		ask := func(key string) int {
			answer, err := d.send(node, http.MethodPost, liveHost, "/live/a", fmt.Sprint("revoked.", number), []byte("x"), bearing(key))
			if err != nil {
				return 0
			}
			return answer.status
		}
		d.eventually("the key is refused", func() bool { return ask(keyOfOne) == http.StatusUnauthorized })
		for key, want := range map[string]int{otherKeyOfOne: http.StatusOK, keyOfTwo: http.StatusOK, strangeKey: http.StatusOK, sharedKey: http.StatusUnauthorized} {
			if status := ask(key); status != want {
				t.Errorf("node %d: status %d, want %d", number, status, want)
			}
		}
	}
	d.check(d.readAs(func() *platformNode { return d.nodes[1] }, bearing(otherKeyOfOne), "going-on", items), items, 1)
	d.checkNoKeyIsKept()
}
