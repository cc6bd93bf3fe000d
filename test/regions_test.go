package test

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// nodeLinks are the proxies from a node to the store and from its peers to the node.
type nodeLinks struct{ store, peer *proxy }

// zone returns the zone of the node, engine or app with the given number.
func (d *platformDeployment) zone(number int) string {
	if d.regions == nil {
		return "zone-a"
	}
	return d.regions[number%len(d.regions)]
}

// locationSettings returns the settings for a node's zone and region and for its
// connections to the store and to its peers.
func (d *platformDeployment) locationSettings(number int) string {
	if d.regions == nil {
		return fmt.Sprintf("zone: zone-a\nregion: region\nobjectStore: %s\n", d.storeAddress)
	}
	links := d.links[number]
	if links == nil {
		links = &nodeLinks{store: newProxy(d.t, d.storeAddress), peer: newProxy(d.t, d.storeAddress)}
		links.store.marker, links.peer.marker = boundBodyPrefix, boundBodyPrefix
		d.links[number] = links
	}
	share := 0.2
	if d.zone(number) == "west" {
		// The largest nodes are preferred as owners of jobs, so a job that ignored its
		// allowed regions would run here.
		share = 0.8
	}
	settings := fmt.Sprintf("zone: %s\nregion: %s\ncpuShare: %g\nobjectStore: %s\npeerAdvertised: %s\nregions:\n",
		d.zone(number), d.zone(number), share, links.store.address(), links.peer.address())
	for _, region := range d.regions {
		settings += fmt.Sprintf("  %s: %s\n", region, region)
	}
	return settings
}

// boundBodyPrefix is the start of the item bodies of jobs whose ids begin with "bound",
// in the base64 encoding of a job payload. They may run in the south only.
var boundBodyPrefix = base64.StdEncoding.EncodeToString([]byte("prompt of bound"))

// setStoreLinks sets the proxy mode of the links from nodes to the store.
func (d *platformDeployment) setStoreLinks(mode proxyMode, nodes ...int) {
	for _, number := range nodes {
		d.links[number].store.set(mode)
	}
}

// checkAllowedRegions checks that requests whose ids begin with "bound" ran in the south
// only, and that none of their bodies was sent to or from a node in the west.
func (d *platformDeployment) checkAllowedRegions() {
	d.t.Helper()
	for _, servers := range [][]*replica.Server{d.engines, d.apps} {
		for number, server := range servers {
			for _, run := range server.Runs() {
				if strings.Contains(run.ID, "bound") && d.zone(number) != "south" {
					d.t.Errorf("request %s ran in the %s, want the south", run.ID, d.zone(number))
				}
			}
		}
	}
	passed := int64(0)
	for number, links := range d.links {
		seen := links.store.markerCount.Load() + links.peer.markerCount.Load()
		passed += seen
		if d.zone(number) == "west" && seen > 0 {
			d.t.Errorf("node %d in the west sent or received %d request bodies, want none", number, seen)
		}
	}
	if passed == 0 {
		d.t.Error("no request body was seen on any link, so the check proves nothing")
	}
}

// owner returns the number of the node whose log says that it runs the job.
func (d *platformDeployment) owner(job string) int {
	d.t.Helper()
	found := -1
	d.eventually("a node to start the batch job", func() bool {
		for number, node := range d.nodes {
			if node.find(`"batch job started"`, fmt.Sprintf("%q", job)) != nil {
				found = number
			}
		}
		return found >= 0
	})
	return found
}

// Requests must run in their allowed regions only, and no other region may receive their
// bodies. Callers are in the north, the south is allowed, the west must receive nothing.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	south := []string{"south"}
	tenants := []map[string]any{
		{"name": "one", "apiKeys": []string{keyOfOne}},
		{"name": "southerner", "apiKeys": []string{keyOfTwo}, "allowedRegions": south},
		{"name": "westerner", "apiKeys": []string{otherKeyOfOne}, "allowedRegions": []string{"west"}},
	}
	d := deployPlatform(t, deploymentSpec{
		nodes: 6, engines: 6, apps: 6, eventInterval: 120 * time.Millisecond, tenants: tenants, regions: []string{"north", "south", "west"},
		allowedRegions: map[string][]string{"drafts": south, "rewards": south, "live": south, "chat": south},
	})
	north, allowedNodes := d.nodes[0], []int{0, 1, 3, 4}
	for number := range 12 {
		for target, key := range map[string]string{"/live/x": keyOfOne, "/chat/x": keyOfOne, "/once/x": keyOfTwo, "/chat-once/x": keyOfTwo} {
			id := fmt.Sprintf("bound.%d%s", number, strings.ReplaceAll(target, "/", "."))
			if response, err := d.send(north, http.MethodPost, liveHost, target, id, []byte("x"), authorization(key)); err != nil || response.status != http.StatusOK {
				t.Errorf("%s: %+v, %v", id, response, err)
			}
		}
	}
	for target, id := range map[string]string{"/live/x": "bound.none", "/chat/x": "bound.none.stream"} {
		response, err := d.send(north, http.MethodPost, liveHost, target, id, []byte("x"), authorization(otherKeyOfOne))
		if err != nil || response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") != "2" || !strings.Contains(response.body, "allowed regions") {
			t.Errorf("request without a replica in its allowed regions: %+v, %v", response, err)
		}
	}
	if response, err := d.send(north, http.MethodPost, draftHost, "/drafts/x", "bound-refused", d.payload("bound-refused", 4, 1), authorization(otherKeyOfOne)); err != nil ||
		response.status != http.StatusServiceUnavailable {
		t.Errorf("job without a replica in its allowed regions: %+v, %v", response, err)
	}

	// The owner is paused and cut off from its peers; another allowed node takes the job
	// over before the owner resumes.
	d.submitAs(north, authorization(keyOfOne), "bound-a", 64, 1)
	owner := d.owner("bound-a")
	for _, number := range allowedNodes {
		// A read at a node makes the job known to that node.
		if response, err := d.send(d.nodes[number], http.MethodGet, draftHost, "/-/lots/bound-a?sinceRev=0", "reader", nil, authorization(keyOfOne)); err != nil || response.status != http.StatusOK {
			t.Errorf("first read of the job: %+v, %v", response, err)
		}
	}
	d.links[owner].peer.set(proxyReset)
	d.nodes[owner].signal(syscall.SIGSTOP)
	var successor int
	d.eventually("a node to take over the batch job", func() bool {
		for number, node := range d.nodes {
			if node.find(`"batch job taken over"`, `"bound-a"`) != nil {
				successor = number
				return true
			}
		}
		return false
	})
	d.nodes[owner].signal(syscall.SIGCONT)
	d.links[owner].peer.set(proxyPass)
	if d.zone(owner) == "west" || d.zone(successor) == "west" {
		t.Errorf("job owned by nodes %d and %d, want none in the west", owner, successor)
	}
	d.checkResults(d.readAs(func() *platformNode { return d.nodes[3] }, authorization(keyOfOne), "bound-a", 64), 64, 1)
	d.checkAllowedRegions()

	// Only the west can reach the store. Job payloads must not pass through it; live
	// requests do not need the store.
	d.setStoreLinks(proxyReset, allowedNodes...)
	time.Sleep(time.Second)
	response, err := d.send(north, http.MethodPost, draftHost, "/drafts/x", "bound-b", d.payload("bound-b", 4, 1),
		http.Header{"Authorization": authorization(keyOfOne)["Authorization"], "Pathtally-Deadline-Ms": {"3000"}})
	if err != nil || response.status != http.StatusServiceUnavailable && response.status != http.StatusGatewayTimeout {
		t.Errorf("job that only the west could store: %+v, %v", response, err)
	}
	if response, err := d.send(north, http.MethodPost, liveHost, "/live/x", "bound.cut", []byte("x"), authorization(keyOfOne)); err != nil || response.status != http.StatusOK {
		t.Errorf("live request without access to the store: %+v, %v", response, err)
	}
	d.checkAllowedRegions()
	d.setStoreLinks(proxyPass, allowedNodes...)
	d.submitAs(north, authorization(keyOfOne), "bound-c", 8, 1)
	d.checkResults(d.readAs(func() *platformNode { return north }, authorization(keyOfOne), "bound-c", 8), 8, 1)
	// Results may be read in the west; the payload must not get there.
	d.checkResults(d.readAs(func() *platformNode { return d.nodes[2] }, authorization(keyOfOne), "bound-c", 8), 8, 1)
	d.checkAllowedRegions()
}
