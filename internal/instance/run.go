package instance

import (
	"context"

	"github.com/pathtally/pathtally/internal/callers/quarantine"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/watchcache"
)

// run starts the background work of the node, which ends with the context.
func (c *components) run(ctx context.Context) {
	c.followStore(ctx)
	for _, loop := range c.loops() {
		go loop(ctx)
	}
}

// followStore subscribes components to the kinds of objects that they follow.
func (c *components) followStore(ctx context.Context) {
	kinds := c.adapter.Kinds
	decoder := c.adapter.Decoder
	c.source.Add(kinds.Configuration, directory.ConfigurationSink{Table: c.directory, Decoder: decoder, Name: kinds.ConfigurationName}, watchcache.ShortWatchTimeout)
	c.source.Add(kinds.Replicas, directory.ReplicaSink{Table: c.directory, Decoder: decoder, KeepMissing: c.live.keepMissing}, watchcache.ShortWatchTimeout)
	c.source.Add(kinds.Versions, directory.VersionSink{Table: c.directory, Decoder: decoder}, watchcache.ShortWatchTimeout)
	c.followEvacuations()
	c.source.Add(quarantine.Kind, c.quarantine, watchcache.LongWatchTimeout)
	c.source.Add(peering.NodeKind, c.peers, watchcache.LongWatchTimeout)
	c.source.Add(kinds.Retirements, &retirements{
		kind: kinds.Retirements, store: c.store, codec: c.adapter.Retirements, node: c.settings.Node, nodes: c.peers.NodeNames,
		logger: c.logger, ctx: ctx, pending: map[string]bool{},
	}, watchcache.LongWatchTimeout)
}

// loops returns the background loops of the node.
func (c *components) loops() []func(context.Context) {
	limiter := &connectionLimiter{directory: c.directory, peers: c.peers, pool: c.pool}
	loops := []func(context.Context){
		c.source.Run, c.peers.Join, limiter.run, c.logCatchUp, c.logEvacuations, c.quarantine.Run, c.jobs.Run, c.weights.Run, c.cleanup.Run,
	}
	if c.autoscale != nil {
		loops = append(loops, c.autoscale.Run)
	}
	if c.usage != nil {
		loops = append(loops, c.usage.Run)
	}
	if c.slowStart != nil {
		loops = append(loops, c.slowStart.client.Run, c.slowStart.allotter.Run)
	}
	return loops
}
