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

// nodeLinks lead from a node to the store and from its peers to it.
type nodeLinks struct{ store, peer *proxy }

// zoneOf is the zone of the node, engine or app with a number.
func (d *platformDeployment) zone(number int) string {
	if d.regions == nil {
		return "zone-a"
	}
	return d.regions[number%len(d.regions)]
}

// placeOf is what the settings of a node say of where it is and how it reaches others.
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
		// Jobs go to the largest nodes where they may.
		share = 0.8
	}
	settings := fmt.Sprintf("zone: %s\nregion: %s\ncpuShare: %g\nobjectStore: %s\npeerAdvertised: %s\nregions:\n",
		d.zone(number), d.zone(number), share, links.store.address(), links.peer.address())
	for _, region := range d.regions {
		settings += fmt.Sprintf("  %s: %s\n", region, region)
	}
	return settings
}

// boundBody begins the body of each item whose job's id begins with "bound", as it is
// in a payload.
var boundBodyPrefix = base64.StdEncoding.EncodeToString([]byte("prompt of bound"))

// cutFromStore cuts or heals the links of nodes to the store.
func (d *platformDeployment) setStoreLinks(mode proxyMode, nodes ...int) {
	for _, number := range nodes {
		d.links[number].store.set(mode)
	}
}

// checkAtHome checks where requests whose ids begin with "bound" ran, and that no body
// of theirs has passed a wire of the nodes in the west.
func (d *platformDeployment) checkAllowedRegions() {
	d.t.Helper()
	for _, servers := range [][]*replica.Server{d.engines, d.apps} {
		for number, server := range servers {
			for _, run := range server.Runs() {
				if strings.Contains(run.ID, "bound") && d.zone(number) != "south" {
					d.t.Errorf("%s ran in the %s", run.ID, d.zone(number))
				}
			}
		}
	}
	passed := int64(0)
	for number, links := range d.links {
		seen := links.store.markerCount.Load() + links.peer.markerCount.Load()
		passed += seen
		if d.zone(number) == "west" && seen > 0 {
			d.t.Errorf("node %d in the west has had %d bodies", number, seen)
		}
	}
	if passed == 0 {
		d.t.Error("no body was seen on any wire")
	}
}

// owner is the node that runs a job, by the logs.
func (d *platformDeployment) owner(job string) int {
	d.t.Helper()
	found := -1
	d.eventually("some node runs the job", func() bool {
		for number, node := range d.nodes {
			if node.find(`"batch job started"`, fmt.Sprintf("%q", job)) != nil {
				found = number
			}
		}
		return found >= 0
	})
	return found
}

// TestRequestsStayAtHome has callers in the north, homes in the south, and a west that
// is neither, with two nodes, engines and apps each.
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
			t.Errorf("a request with no home: %+v, %v", response, err)
		}
	}
	if response, err := d.send(north, http.MethodPost, draftHost, "/drafts/x", "bound-refused", d.payload("bound-refused", 4, 1), authorization(otherKeyOfOne)); err != nil ||
		response.status != http.StatusServiceUnavailable {
		t.Errorf("a job with no home: %+v, %v", response, err)
	}

	// The owner freezes and is cut off; a node inside goes on, and the owner wakes.
	d.submitAs(north, authorization(keyOfOne), "bound-a", 64, 1)
	owner := d.owner("bound-a")
	for _, number := range allowedNodes {
		// Once it has been read everywhere, all of them know of it.
		if response, err := d.send(d.nodes[number], http.MethodGet, draftHost, "/-/lots/bound-a?sinceRev=0", "reader", nil, authorization(keyOfOne)); err != nil || response.status != http.StatusOK {
			t.Errorf("first look at the job: %+v, %v", response, err)
		}
	}
	d.links[owner].peer.set(proxyReset)
	d.nodes[owner].signal(syscall.SIGSTOP)
	var successor int
	d.eventually("a node takes the job over", func() bool {
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
		t.Errorf("run by nodes %d and %d", owner, successor)
	}
	d.checkResults(d.readAs(func() *platformNode { return d.nodes[3] }, authorization(keyOfOne), "bound-a", 64), 64, 1)
	d.checkAllowedRegions()

	// The store answers the west alone: no way through it for bodies, which is so for
	// jobs only.
	d.setStoreLinks(proxyReset, allowedNodes...)
	time.Sleep(time.Second)
	response, err := d.send(north, http.MethodPost, draftHost, "/drafts/x", "bound-b", d.payload("bound-b", 4, 1),
		http.Header{"Authorization": authorization(keyOfOne)["Authorization"], "Pathtally-Deadline-Ms": {"3000"}})
	if err != nil || response.status != http.StatusServiceUnavailable && response.status != http.StatusGatewayTimeout {
		t.Errorf("a job that only the west could store: %+v, %v", response, err)
	}
	if response, err := d.send(north, http.MethodPost, liveHost, "/live/x", "bound.cut", []byte("x"), authorization(keyOfOne)); err != nil || response.status != http.StatusOK {
		t.Errorf("a live request meanwhile: %+v, %v", response, err)
	}
	d.checkAllowedRegions()
	d.setStoreLinks(proxyPass, allowedNodes...)
	d.submitAs(north, authorization(keyOfOne), "bound-c", 8, 1)
	d.checkResults(d.readAs(func() *platformNode { return north }, authorization(keyOfOne), "bound-c", 8), 8, 1)
	// A caller of the west's reads results there; the payload stays where it is.
	d.checkResults(d.readAs(func() *platformNode { return d.nodes[2] }, authorization(keyOfOne), "bound-c", 8), 8, 1)
	d.checkAllowedRegions()
}
