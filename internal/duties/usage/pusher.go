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
	// followers is how many of the nodes that would hold the lease next are told
	// of all counts, besides the holder. With half of all nodes killed at once,
	// one time in 16 none of the four is left, and then those that are still
	// there push all they have to the next.
	followers = 3
	// pushPeriod is the least time between two pushes of a node: what a killed
	// node has not pushed is lost, and a quarter of a second of one node's
	// requests is little beside the tolerance of a deployment's reports.
	minPushInterval = 250 * time.Millisecond
	// pushesTaken is how many pushes a second one receiver should have to take.
	// In deployments of hundreds of nodes each pushes the less often.
	maxReceivedPushes = 100
	// pushTime bounds one push; one without an answer is made again. Between its
	// end and the settling of a window there is time for five.
	pushTimeout = 500 * time.Millisecond
	// flushTime bounds the pushes of a planned stop, and flushLook is the time
	// between looks at them.
	flushTimeout = time.Second
	flushPollInterval = 10 * time.Millisecond
	// receiverLook is how often a node that counts nothing looks whether there are
	// other receivers.
	receiverPollInterval = time.Second
)

// receiver is a process that is told of counts.
type receiver struct {
	node        string
	address     string
	incarnation uint64
}

// pusher tells other nodes what this one has counted.
type pusher struct {
	config  Config
	counter *Counter
	clock   *Clock

	mutex sync.Mutex
	// pushed is up to which version of the counter each receiver knows, and
	// pushing holds the receivers that a push is under way to.
	pushed  map[receiver]uint64
	pushing map[receiver]bool
}

func newPusher(config Config, counter *Counter, clock *Clock) *pusher {
	return &pusher{config: config, counter: counter, clock: clock, pushed: map[receiver]uint64{}, pushing: map[receiver]bool{}}
}

// run pushes until the context ends.
func (p *pusher) run(ctx context.Context) {
	for {
		behind := p.push(ctx)
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

// flush pushes until all receivers know everything, but not for long.
func (p *pusher) flush(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for p.push(ctx) {
		if !objectstore.Sleep(ctx, flushPollInterval) {
			return false
		}
	}
	return true
}

// period is the time between two pushes.
func (p *pusher) pushInterval() time.Duration {
	return max(minPushInterval, time.Duration(len(p.config.Nodes()))*time.Second/maxReceivedPushes)
}

// receivers are the processes that have to know, this one left out.
func (p *pusher) receivers() []receiver {
	var named []receiver
	for _, node := range p.config.Keeper.Informed(followers) {
		address, incarnation, known := p.config.Peer(node)
		if node != p.config.Node && known {
			named = append(named, receiver{node: node, address: address, incarnation: incarnation})
		}
	}
	return named
}

// push begins a push to each receiver that lacks something and has none under
// way, and tells whether any lacks something. One that does not answer holds up no
// other.
func (p *pusher) push(ctx context.Context) (behind bool) {
	receivers := p.receivers()
	version := p.counter.newest()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	maps.DeleteFunc(p.pushed, func(known receiver, _ uint64) bool { return !slices.Contains(receivers, known) })
	for _, to := range receivers {
		if p.pushed[to] >= version {
			continue
		}
		behind = true
		if !p.pushing[to] {
			p.pushing[to] = true
			go p.pushTo(ctx, to, p.pushed[to])
		}
	}
	return behind
}

// pushTo tells one receiver what it lacks.
func (p *pusher) pushTo(ctx context.Context, to receiver, known uint64) {
	windows, version := p.counter.since(known)
	sent := time.Now()
	message, err := environment.Ask(ctx, p.config.Peers, to.address, p.message(windows, sent), pushTimeout)
	answered := time.Now()
	taken, isTaken := message.(*wire.UsageTaken)
	p.mutex.Lock()
	delete(p.pushing, to)
	if err == nil && isTaken {
		p.pushed[to] = version
	}
	p.mutex.Unlock()
	if err == nil && isTaken {
		halfway := sent.Add(answered.Sub(sent) / 2)
		p.clock.ObservePeer(to.node, time.Duration(taken.UnixMs)*time.Millisecond-p.clock.Unix(halfway), answered)
	}
}

// message is a push of some windows.
func (p *pusher) message(windows map[int64]Counts, sent time.Time) *wire.UsagePush {
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
