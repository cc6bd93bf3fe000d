package batch

import (
	"context"
	"slices"

	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/residency"
)

// origin is what decides where the bodies of a batch job may be. The homes themselves
// are those of the configuration in force.
type origin struct {
	// routes are those whose requests the job holds: its own first, then its scorers'.
	routes []string
	tenant string
	// entry is the region through which the job came, "" for unknown.
	entry string
}

func originOf(record jobstore.Record) origin {
	return origin{routes: append([]string{record.Route}, record.ScorerRoutes...), tenant: record.Tenant, entry: record.EntryRegion}
}

// learnOrigin records where a job of another node comes from.
func (f *remoteJob) learnOrigin(from origin) {
	if f.origin == nil {
		// The rank depends on it.
		f.membership = 0
	}
	f.origin = &from
}

// scorersOf names the routes of a submission's reward calls.
func (s *Service) scorersOf(submission *Submission) []string {
	var named []string
	for _, submitted := range submission.Items {
		if submitted.Reward == nil {
			continue
		}
		if route := s.scheduler.scorer.rewardRoute(submitted.Reward); route != nil && !slices.Contains(named, route.Name) {
			named = append(named, route.Name)
		}
	}
	return named
}

// boundsOf is where the bodies of a job may be. A route or tenant that is declared no
// more may have had any homes: where the others have some, its bodies stay in the
// region through which they came. A node that knows no configuration yet takes no
// node, itself included, for one that may have them.
func (s *Service) boundsOf(from origin) residency.Bounds {
	configuration := s.config.Directory.View().Configuration
	if configuration == nil {
		return residency.NewBounds(residency.NoRegions(), "")
	}
	if !configuration.RestrictsRegions() {
		return residency.Bounds{}
	}
	allowed := residency.Set{}
	for _, name := range from.routes {
		allowed = allowed.And(bodyHomes(configuration, name, from.tenant))
	}
	return residency.NewBounds(allowed, from.entry)
}

// bodyHomes are the regions whose nodes may have the body of a tenant's request.
func bodyHomes(configuration *directory.Configuration, route, tenant string) residency.Set {
	declared := configuration.RouteByName(route)
	if declared == nil || (tenant != "" && configuration.Tenants.Named(tenant) == nil) {
		return residency.NoRegions()
	}
	return configuration.AllowedRegions(declared, tenant)
}

// within returns a context for the store's calls that carry bodies of a job.
func (s *Service) within(ctx context.Context, record jobstore.Record) context.Context {
	return residency.WithBounds(ctx, s.boundsOf(originOf(record)))
}

// withinHeld is within for a job that this node runs.
func (s *Service) withinHeld(ctx context.Context, id string) context.Context {
	s.mutex.Lock()
	held := s.jobs[id]
	s.mutex.Unlock()
	if held == nil {
		return residency.WithBounds(ctx, residency.NewBounds(residency.NoRegions(), s.config.Region))
	}
	return s.within(ctx, held.record)
}

// insiders are those of some nodes that may have the bodies of a job, in the same
// order; all while its origin is not known.
func (s *Service) insiders(from *origin, nodes []string) []string {
	if from == nil {
		return nodes
	}
	bounds := s.boundsOf(*from)
	if !bounds.Regions().IsRestricted() {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return !bounds.AllowsNode(s.regionOf(node)) })
}

// regionOf is the region of a node, "" if it is not known.
func (s *Service) regionOf(node string) string {
	if node == s.config.Self.Node {
		return s.config.Region
	}
	peer, _ := s.config.Table.Get(node)
	return s.config.Directory.RegionOf(peer.Zone)
}

// isOutsider tells whether this node may not have the bodies of another node's job, as far
// as the job's origin is known. The mutex must be held.
func (s *Service) isOutsider(remote *remoteJob) bool {
	return remote.origin != nil && !s.boundsOf(*remote.origin).AllowsNode(s.config.Region)
}

// logWaiting logs once that no other node known may take a job over. The job's origin is
// known, since every node may take over a job whose origin is not. The mutex must be held.
func (s *Service) logWaiting(id string, remote *remoteJob) {
	if remote.waitLogged || remote.ended || s.config.Directory.View().Configuration == nil {
		return
	}
	remote.waitLogged = true
	s.config.Logger.Info("batch job waits for a node in its allowed regions, should its owner fall silent", "request", id,
		"owner", remote.owner.Node, "allowed", s.boundsOf(*remote.origin).Regions().Regions(), "entry", remote.origin.entry)
}

// logJobsWithoutSuccessor logs the jobs that this node cannot give away, since no other
// node known may have them: they wait until there is one. The mutex must be held.
func (s *Service) logJobsWithoutSuccessor() {
	nodes := s.config.Table.NodeNames()
	for id, held := range s.jobs {
		from := originOf(held.record)
		if held.open() && len(ownership.Successors(s.insiders(&from, nodes), s.config.Self.Node)) == 0 {
			s.config.Logger.Info("batch job given to nobody: no other node is in its allowed regions", "request", id,
				"allowed", s.boundsOf(from).Regions().Regions(), "entry", from.entry)
		}
	}
}

// checkHomes refuses a job of which some request has no replica that may serve it.
func (s *Service) checkHomes(from origin) error {
	view := s.config.Directory.View()
	if !view.Configuration.RestrictsRegions() {
		return nil
	}
	for _, name := range from.routes {
		route := view.Configuration.RouteByName(name)
		if route != nil && !view.HasReplica(route, view.Configuration.AllowedRegions(route, from.tenant)) {
			s.metrics.withoutHome.Inc()
			return &jobstore.NotAcceptedError{Cause: forward.ErrNoReplicaInAllowedRegions}
		}
	}
	return nil
}

// checkOffered refuses a job that another node hands to this one and that this one
// may not have: the two may know different configurations.
func (s *Service) checkOffered(arrival *Arrival) error {
	from := originOf(s.recordOf(arrival))
	if !s.boundsOf(from).AllowsNode(s.config.Region) {
		return &jobstore.NotAcceptedError{Cause: ErrOutside}
	}
	return s.checkHomes(from)
}
