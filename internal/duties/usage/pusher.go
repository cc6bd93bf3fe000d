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
	// followers is how many of the nodes that would hold the lease next receive all
	// counts, besides the holder. Where all of these are lost at once, the others push
	// what they have to the next.
	followers = 3
	// minPushInterval is the least time between two pushes of a node: what a killed node
	// has not pushed is lost, which must be little beside the tolerance of the reports.
	minPushInterval = 250 * time.Millisecond
	// maxReceivedPushes is how many pushes a second one receiver should get. In
	// deployments of hundreds of nodes each node pushes less often.
	maxReceivedPushes = 100
	// pushTimeout bounds one push; one without an answer is repeated. Between the end of
	// a window and its settling there is time for five.
	pushTimeout = 500 * time.Millisecond
	// flushTimeout bounds the pushes of a planned stop, and flushPollInterval is the
	// time between checks of them.
	flushTimeout      = time.Second
	flushPollInterval = 10 * time.Millisecond
	// receiverPollInterval is the time between two checks of a node that counts nothing
	// whether there are other receivers.
	receiverPollInterval = time.Second
)

// receiver is a process that counts are pushed to.
type receiver struct {
	node        string
	address     string
	incarnation uint64
}

// pusher pushes the counts of this node to others.
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

// flush pushes until all receivers know everything, at most for flushTimeout, and returns
// whether they do.
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

// pushInterval returns the time between two pushes.
func (p *pusher) pushInterval() time.Duration {
	return max(minPushInterval, time.Duration(len(p.config.Nodes()))*time.Second/maxReceivedPushes)
}

// receivers returns the processes that counts are pushed to, this one left out.
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
// way, and returns whether any lacks something. One that does not answer delays no
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

// pushTo pushes to one receiver what it lacks.
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
