package usage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// pushSuccessors is the number of successors that receive all counts besides the holder. If
	// all of these nodes fail at once, the other nodes push their counts to the next
	// successors.
	pushSuccessors = 3
	// minPushInterval is the minimum time between pushes of a node. The counts that a
	// killed node has not pushed are lost, so it bounds the error of the reports.
	minPushInterval = 250 * time.Millisecond
	// maxReceivedPushes is the maximum rate of pushes to a receiver, per second. In large
	// deployments each node pushes less often to stay below it.
	maxReceivedPushes = 100
	// pushTimeout bounds one push. It is short enough for five pushes between the end of a
	// window and its settling.
	pushTimeout = 500 * time.Millisecond
	// flushTimeout bounds the pushes of a graceful shutdown, and flushPollInterval is the
	// time between checks for their completion.
	flushTimeout      = time.Second
	flushPollInterval = 10 * time.Millisecond
	// receiverPollInterval is the time between checks for new receivers while the node
	// counts no requests.
	receiverPollInterval = time.Second
)

// receiver identifies a process that counts are pushed to.
type receiver struct {
	node        string
	address     string
	incarnation uint64
}

// pusher pushes the counts of this node to the receivers.
type pusher struct {
	config  Config
	counter *Counter
	clock   *Clock

	mutex sync.Mutex
	// confirmed is the version of the counter that each receiver has confirmed, and
	// inFlight the set of receivers with a push in flight.
	confirmed map[receiver]uint64
	inFlight  map[receiver]bool
}

func newPusher(config Config, counter *Counter, clock *Clock) *pusher {
	return &pusher{config: config, counter: counter, clock: clock, confirmed: map[receiver]uint64{}, inFlight: map[receiver]bool{}}
}

// run pushes counts until the context is done.
func (p *pusher) run(ctx context.Context) {
	for {
		behind := p.startPushes(ctx)
		if !objectstore.Sleep(ctx, p.pushInterval()) {
			return
		}
		if behind {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-p.counter.wake:
		case <-time.After(receiverPollInterval):
		}
	}
}

// flush pushes until all receivers have confirmed all counts, for flushTimeout at most, and
// returns whether they have.
func (p *pusher) flush(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for p.startPushes(ctx) {
		if !objectstore.Sleep(ctx, flushPollInterval) {
			return false
		}
	}
	return true
}

// pushInterval returns the time between pushes of this node.
func (p *pusher) pushInterval() time.Duration {
	return max(minPushInterval, time.Duration(len(p.config.Nodes()))*time.Second/maxReceivedPushes)
}

// receivers returns the processes that counts are pushed to, without this one.
func (p *pusher) receivers() []receiver {
	var found []receiver
	for _, node := range p.config.Elector.HolderAndSuccessors(pushSuccessors) {
		address, incarnation, known := p.config.Peer(node)
		if node != p.config.Node && known {
			found = append(found, receiver{node: node, address: address, incarnation: incarnation})
		}
	}
	return found
}

// startPushes starts a push to each receiver that lacks counts and has no push in flight, and
// returns whether any receiver lacks counts. It does not wait for replies, so that one
// unresponsive receiver does not delay the others.
func (p *pusher) startPushes(ctx context.Context) (behind bool) {
	receivers := p.receivers()
	version := p.counter.currentVersion()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	maps.DeleteFunc(p.confirmed, func(known receiver, _ uint64) bool { return !slices.Contains(receivers, known) })
	for _, to := range receivers {
		if p.confirmed[to] >= version {
			continue
		}
		behind = true
		if !p.inFlight[to] {
			p.inFlight[to] = true
			go p.pushTo(ctx, to, p.confirmed[to])
		}
	}
	return behind
}

// pushTo pushes the windows changed after a version to a receiver. The reply also gives the
// offset of the receiver's clock.
func (p *pusher) pushTo(ctx context.Context, to receiver, since uint64) {
	windows, version := p.counter.changedSince(since)
	sent := time.Now()
	message, err := environment.Call(ctx, p.config.Peers, to.address, p.newPush(windows, sent), pushTimeout)
	replied := time.Now()
	reply, isReply := message.(*wire.UsageTaken)
	p.mutex.Lock()
	delete(p.inFlight, to)
	if err == nil && isReply {
		p.confirmed[to] = version
	}
	p.mutex.Unlock()
	if err == nil && isReply {
		halfway := sent.Add(replied.Sub(sent) / 2)
		p.clock.ObservePeer(to.node, time.Duration(reply.UnixMs)*time.Millisecond-p.clock.Unix(halfway), replied)
	}
}

// newPush returns a push of some windows that is sent at a time.
func (p *pusher) newPush(windows map[int64]Counts, sent time.Time) *wire.UsagePush {
	push := &wire.UsagePush{Node: p.config.Node, Incarnation: p.config.Incarnation, UnixMs: p.clock.Unix(sent).Milliseconds()}
	for _, number := range slices.Sorted(maps.Keys(windows)) {
		window := wire.UsageWindow{Number: number}
		for _, tenant := range slices.Sorted(maps.Keys(windows[number])) {
			window.Counts = append(window.Counts, wire.TenantCount{Tenant: tenant, Count: windows[number][tenant]})
		}
		push.Windows = append(push.Windows, window)
	}
	return push
}
