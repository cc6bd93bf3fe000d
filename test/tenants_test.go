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

// API keys in these tests. None of them may appear in logs, metrics or stored objects.
const (
	keyOfOne      = "k1-3f9a7c5e2b"
	otherKeyOfOne = "k2-88d1e4a06c"
	keyOfTwo      = "k3-c7720fb91d"
	sharedKey     = "k4-0a5be6f3d8"
	unknownKey    = "k5-e91c40d7a2"
)

var allKeys = []string{keyOfOne, otherKeyOfOne, keyOfTwo, sharedKey, unknownKey}

func twoTenants() []map[string]any {
	return []map[string]any{
		{"name": "one", "apiKeys": []string{keyOfOne, otherKeyOfOne, sharedKey}, "priority": 1},
		{"name": "two", "apiKeys": []string{keyOfTwo, sharedKey}, "priority": 0},
		{"name": "keyless", "apiKeys": []string{}},
	}
}

func authorization(key string) http.Header { return http.Header{"Authorization": {"Token " + key}} }

// runsOf returns the runs of a request at all replicas.
func (d *platformDeployment) runsOf(id string) []replica.Run {
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

// checkNoKeyLeaked checks that no API key of the tests is in the logs or metrics of the nodes
// or in the objects that they store.
func (d *platformDeployment) checkNoKeyLeaked() {
	d.t.Helper()
	for number, node := range d.nodes {
		node.mutex.Lock()
		written := bytes.Clone(node.log.Bytes())
		node.mutex.Unlock()
		for _, key := range allKeys {
			if bytes.Contains(written, []byte(key)) {
				d.t.Errorf("log of node %d contains an API key", number)
			}
		}
		response, err := http.Get("http://" + node.metrics + "/metrics")
		if err != nil {
			continue
		}
		var metrics bytes.Buffer
		metrics.ReadFrom(response.Body)
		response.Body.Close()
		for _, key := range allKeys {
			if strings.Contains(metrics.String(), key) {
				d.t.Errorf("metrics of node %d contain an API key", number)
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
			for _, key := range allKeys {
				if bytes.Contains(object.Spec, []byte(key)) || bytes.Contains(object.Status, []byte(key)) {
					d.t.Errorf("object %s/%s contains an API key", kind, object.Name)
				}
			}
		}
	}
	if objects == 0 {
		d.t.Error("no stored object was found, so the check proves nothing")
	}
}

func TestTenantIsIdentifiedByAPIKey(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 2, engines: 2, apps: 2, eventInterval: time.Millisecond, tenants: twoTenants()})
	for number, test := range []struct {
		name   string
		target string
		header http.Header
		status int
		tenant string
	}{
		{"a key", "/live/a", authorization(keyOfOne), http.StatusOK, "one"},
		{"another key of the tenant", "/live/a", authorization(otherKeyOfOne), http.StatusOK, "one"},
		{"scheme in lower case", "/live/a", http.Header{"Authorization": {"token  " + keyOfTwo}}, http.StatusOK, "two"},
		{"a key and a tenant header of another tenant", "/live/a", http.Header{"Authorization": {"Token " + keyOfTwo}, "Pathtally-Tenant": {"one"}}, http.StatusOK, "two"},
		{"an unsafe request", "/once/a", authorization(keyOfOne), http.StatusOK, "one"},
		{"a public route without a key", "/open/a", nil, http.StatusOK, ""},
		{"a public route with a key", "/open/a", http.Header{"Authorization": {"Token " + keyOfOne}, "Pathtally-Tenant": {"one"}}, http.StatusOK, ""},
		{"no key", "/live/a", nil, http.StatusUnauthorized, ""},
		{"a tenant header without a key", "/live/a", http.Header{"Pathtally-Tenant": {"one"}}, http.StatusUnauthorized, ""},
		{"two keys", "/live/a", http.Header{"Authorization": {"Token " + keyOfOne, "Token " + keyOfTwo}}, http.StatusUnauthorized, ""},
		{"two keys in one header", "/live/a", authorization(keyOfOne + ", Token " + keyOfTwo), http.StatusUnauthorized, ""},
		{"another scheme", "/live/a", http.Header{"Authorization": {"Basic " + keyOfOne}}, http.StatusUnauthorized, ""},
		{"no scheme", "/live/a", http.Header{"Authorization": {keyOfOne}}, http.StatusUnauthorized, ""},
		{"an empty value", "/live/a", http.Header{"Authorization": {""}}, http.StatusUnauthorized, ""},
		{"an empty key", "/live/a", authorization(""), http.StatusUnauthorized, ""},
		{"a huge key", "/live/a", authorization(strings.Repeat(unknownKey, 300)), http.StatusUnauthorized, ""},
		{"an unknown key", "/live/a", authorization(unknownKey), http.StatusUnauthorized, ""},
		{"a key of two tenants", "/live/a", authorization(sharedKey), http.StatusUnauthorized, ""},
		{"a stream without a key", "/chat/a", nil, http.StatusUnauthorized, ""},
		{"a stream", "/chat/a", authorization(keyOfTwo), http.StatusOK, "two"},
		{"no route", "/nowhere/a", authorization(keyOfOne), http.StatusNotFound, ""},
	} {
		id := fmt.Sprintf("tenants.%d", number)
		response, err := d.send(d.nodes[number%2], http.MethodPost, liveHost, test.target, id, []byte("x"), test.header)
		if err != nil || response.status != test.status {
			t.Errorf("%s: %+v, %v", test.name, response, err)
		}
		runs := d.runsOf(id)
		if test.status != http.StatusOK && len(runs) > 0 {
			t.Errorf("%s: request was refused, but ran", test.name)
		}
		if test.status == http.StatusOK && len(runs) == 0 {
			t.Errorf("%s: request was served, but ran at no replica", test.name)
		}
		for _, run := range runs {
			if run.Tenant != test.tenant || run.Credentials != "" {
				t.Errorf("%s: ran for %q with credentials %q", test.name, run.Tenant, run.Credentials)
			}
			if strings.HasPrefix(test.target, "/chat/") && run.Priority != "0" {
				t.Errorf("%s: ran with priority %q, want 0, the priority of its tenant", test.name, run.Priority)
			}
		}
	}
	if d.nodes[0].find("ignoring invalid part of tenant declaration", `\"two\"`) == nil {
		t.Error("the log does not report the key that two tenants share")
	}
	d.submitAs(d.nodes[0], authorization(keyOfOne), "kept", 4, 1)
	d.checkNoKeyLeaked()
}

// Only a job's tenant may read or end it, at every node and after a takeover, and its items
// and scorer calls must run for that tenant.
func TestBatchJobIsVisibleToItsTenantOnly(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 3, engines: 2, apps: 2, eventInterval: 15 * time.Millisecond, tenants: twoTenants()})
	const job, items = "owned", 24
	d.submitAs(d.nodes[0], authorization(keyOfOne), job, items, 1)
	expect := func(what string, node *platformNode, method, target string, header http.Header, status int) {
		t.Helper()
		d.eventually(what, func() bool {
			response, err := d.send(node, method, draftHost, target, "asker", nil, header)
			if err == nil && response.status == status {
				return true
			}
			if err == nil && response.status != http.StatusServiceUnavailable {
				t.Fatalf("%s: status %d", what, response.status)
			}
			return false
		})
	}
	for number, node := range d.nodes {
		for _, call := range []struct{ name, method, target string }{
			{"read", http.MethodGet, "/-/lots/" + job}, {"body", http.MethodGet, "/-/items/" + job + "?id=" + job + ".23"}, {"end", http.MethodDelete, "/-/lots/" + job},
		} {
			expect(fmt.Sprint(call.name, " without a key at ", number), node, call.method, call.target, nil, http.StatusUnauthorized)
			expect(fmt.Sprint(call.name, " by another tenant at ", number), node, call.method, call.target, authorization(keyOfTwo), http.StatusNotFound)
		}
		expect(fmt.Sprint("read by the tenant at ", number), node, http.MethodGet, "/-/lots/"+job, authorization(otherKeyOfOne), http.StatusOK)
	}
	body, err := json.Marshal(map[string]any{"model": draftModel, "requests": []map[string]any{draftItem(job, 0)}})
	if err != nil {
		t.Fatal(err)
	}
	for number, node := range d.nodes {
		if response, err := d.send(node, http.MethodPost, draftHost, "/drafts/"+job, job, body, authorization(keyOfTwo)); err != nil || response.status != http.StatusConflict {
			t.Errorf("submission with the id of another tenant's job at node %d: %+v, %v", number, response, err)
		}
	}
	// The owner of the job is killed.
	owner := -1
	for number, node := range d.nodes {
		if node.find("batch job started", `"epoch":1`) != nil {
			owner = number
		}
	}
	if owner < 0 {
		t.Fatal("no node has started the job")
	}
	d.nodes[owner].signal(syscall.SIGKILL)
	next := d.nodes[(owner+1)%3]
	results := d.readAs(func() *platformNode { return next }, authorization(otherKeyOfOne), job, items)
	d.checkResults(results, items, 1)
	for number := range items {
		for _, id := range []string{fmt.Sprintf("%s.%d", job, number), fmt.Sprintf("score.%s.%d", job, number)} {
			runs := d.runsOf(id)
			if len(runs) == 0 {
				t.Errorf("request %s ran at no replica", id)
			}
			for _, run := range runs {
				if run.Tenant != "one" || run.Credentials != "" {
					t.Errorf("request %s ran for %q with credentials %q", id, run.Tenant, run.Credentials)
				}
				if !strings.HasPrefix(id, "score.") && run.Priority != "1" {
					t.Errorf("request %s ran with priority %q, want 1, the priority of its tenant", id, run.Priority)
				}
			}
		}
	}
	expect("end by the tenant", next, http.MethodDelete, "/-/lots/"+job, authorization(keyOfOne), http.StatusOK)
	d.checkNoKeyLeaked()
}

// Credentials in the headers of an item must be rejected, since items are stored.
func TestBatchItemWithCredentialsIsRejected(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 1, eventInterval: time.Millisecond, tenants: twoTenants()})
	item := draftItem("secretive", 0)
	item["headers"] = map[string]string{"authorization": "Token " + keyOfOne}
	body, err := json.Marshal(map[string]any{"model": draftModel, "requests": []map[string]any{item}})
	if err != nil {
		t.Fatal(err)
	}
	response, err := d.send(d.nodes[0], http.MethodPost, draftHost, "/drafts/secretive", "secretive", body, authorization(keyOfOne))
	if err != nil || response.status != http.StatusBadRequest {
		t.Errorf("submission with credentials in an item: %+v, %v", response, err)
	}
	if runs := d.runsOf("secretive.0"); len(runs) > 0 {
		t.Error("the item of a rejected job ran")
	}
	d.checkNoKeyLeaked()
}

// A revoked key must be refused while the other keys of its tenant stay valid and the
// tenant's batch jobs continue.
func TestRevokedAPIKeyIsRefused(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 3, engines: 2, apps: 2, eventInterval: 10 * time.Millisecond, tenants: twoTenants()})
	const items = 16
	d.submitAs(d.nodes[0], authorization(keyOfOne), "going-on", items, 1)
	d.tenants = []map[string]any{{"name": "one", "apiKeys": []string{otherKeyOfOne}}, {"name": "two", "apiKeys": []string{keyOfTwo, unknownKey}}}
	d.configure(2)
	for number, node := range d.nodes {
		statusOf := func(key string) int {
			response, err := d.send(node, http.MethodPost, liveHost, "/live/a", fmt.Sprint("revoked.", number), []byte("x"), authorization(key))
			if err != nil {
				return 0
			}
			return response.status
		}
		d.eventually("the revoked key to be refused", func() bool { return statusOf(keyOfOne) == http.StatusUnauthorized })
		for key, want := range map[string]int{otherKeyOfOne: http.StatusOK, keyOfTwo: http.StatusOK, unknownKey: http.StatusOK, sharedKey: http.StatusUnauthorized} {
			if status := statusOf(key); status != want {
				t.Errorf("node %d: status %d, want %d", number, status, want)
			}
		}
	}
	d.checkResults(d.readAs(func() *platformNode { return d.nodes[1] }, authorization(otherKeyOfOne), "going-on", items), items, 1)
	d.checkNoKeyLeaked()
}
