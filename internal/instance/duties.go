package instance

import (
	"context"

	"github.com/pathtally/pathtally/internal/callers/quarantine"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/watchcache"
)

// runDuties starts what works beside the requests.
func (i *Instance) runDuties(ctx context.Context) {
	kinds := i.adapter.Kinds
	decoder := i.adapter.Decoder
	i.source.Add(kinds.Configuration, directory.ConfigurationSink{Table: i.directory, Decoder: decoder, Name: kinds.ConfigurationName}, watchcache.PromptWait)
	i.source.Add(kinds.Replicas, directory.ReplicaSink{Table: i.directory, Decoder: decoder, KeepMissing: i.keepMissing}, watchcache.PromptWait)
	i.source.Add(kinds.Versions, directory.VersionSink{Table: i.directory, Decoder: decoder}, watchcache.PromptWait)
	i.followEvacuations()
	i.source.Add(quarantine.Kind, i.quarantine, watchcache.LongWait)
	i.source.Add(peering.Kind, i.peers, watchcache.LongWait)
	i.source.Add(kinds.Retirements, &retirements{
		kind: kinds.Retirements, store: i.store, codec: i.adapter.Retirements, node: i.settings.Node, nodes: i.peers.Nodes,
		logger: i.logger, ctx: ctx, pending: map[string]bool{},
	}, watchcache.LongWait)
	i.run(func() { i.source.Run(ctx) })
	i.run(func() { i.peers.Join(ctx) })
	i.run(func() { i.boundConnections(ctx) })
	i.run(func() { i.watchCatchUp(ctx) })
	i.run(func() { i.watchEvacuations(ctx) })
	i.run(func() { i.quarantine.Run(ctx) })
	i.run(func() { i.jobs.Run(ctx) })
	i.run(func() { i.weights.Run(ctx) })
	if i.autoscale != nil {
		i.run(func() { i.autoscale.Run(ctx) })
	}
	if i.usage != nil {
		i.run(func() { i.usage.Run(ctx) })
	}
	if i.slowStart != nil {
		i.run(func() { i.slowStart.client.Run(ctx) })
		i.run(func() { i.slowStart.allotter.Run(ctx) })
	}
}

func (i *Instance) run(duty func()) {
	i.duties.Add(1)
	go func() {
		defer i.duties.Done()
		duty()
	}()
}
