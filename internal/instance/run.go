package instance

import (
	"context"

	"github.com/pathtally/pathtally/internal/callers/quarantine"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/watchcache"
)

// run starts the background work of the node, which ends with the context.
func (p *components) run(ctx context.Context) {
	p.followStore(ctx)
	for _, loop := range p.loops() {
		go loop(ctx)
	}
}

// followStore subscribes components to the kinds of objects that they follow.
func (p *components) followStore(ctx context.Context) {
	kinds := p.adapter.Kinds
	decoder := p.adapter.Decoder
	p.source.Add(kinds.Configuration, directory.ConfigurationSink{Table: p.directory, Decoder: decoder, Name: kinds.ConfigurationName}, watchcache.ShortWatchTimeout)
	p.source.Add(kinds.Replicas, directory.ReplicaSink{Table: p.directory, Decoder: decoder, KeepMissing: p.live.keepMissing}, watchcache.ShortWatchTimeout)
	p.source.Add(kinds.Versions, directory.VersionSink{Table: p.directory, Decoder: decoder}, watchcache.ShortWatchTimeout)
	p.followEvacuations()
	p.source.Add(quarantine.Kind, p.quarantine, watchcache.LongWatchTimeout)
	p.source.Add(peering.NodeKind, p.peers, watchcache.LongWatchTimeout)
	p.source.Add(kinds.Retirements, &retirements{
		kind: kinds.Retirements, store: p.store, codec: p.adapter.Retirements, node: p.settings.Node, nodes: p.peers.NodeNames,
		logger: p.logger, ctx: ctx, pending: map[string]bool{},
	}, watchcache.LongWatchTimeout)
}

// loops returns the background loops of the node.
func (p *components) loops() []func(context.Context) {
	limiter := &connectionLimiter{directory: p.directory, peers: p.peers, pool: p.pool}
	loops := []func(context.Context){
		p.source.Run, p.peers.Join, limiter.run, p.logCatchUp, p.logEvacuations, p.quarantine.Run, p.jobs.Run, p.weights.Run,
	}
	if p.autoscale != nil {
		loops = append(loops, p.autoscale.Run)
	}
	if p.usage != nil {
		loops = append(loops, p.usage.Run)
	}
	if p.slowStart != nil {
		loops = append(loops, p.slowStart.client.Run, p.slowStart.allotter.Run)
	}
	return loops
}
