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

// origin holds what decides, with the current configuration, in which regions the bodies
// of a batch job may be.
type origin struct {
	// routes are the routes of the job's requests: its own, then those of its scorers.
	routes []string
	tenant string
	// entryRegion is the region of the node that the job's caller connected to, "" if
	// unknown.
	entryRegion string
}

func originOf(record jobstore.Record) origin {
	return origin{routes: append([]string{record.Route}, record.ScorerRoutes...), tenant: record.Tenant, entryRegion: record.EntryRegion}
}

// learnOrigin records the origin of another node's job.
func (r *remoteJob) learnOrigin(from origin) {
	if r.origin == nil {
		// The cached rank depends on the origin.
		r.rankMembership = 0
	}
	r.origin = &from
}

// scorerRoutesOf returns the names of the routes of a submission's reward calls.
func (s *Service) scorerRoutesOf(submission *Submission) []string {
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

// regionBounds returns where the bodies of a job may be. If a route or the tenant of the
// job is no longer declared, its allowed regions are unknown: the bodies then stay in the
// job's entry region, unless no allowed regions are declared at all. Without a
// configuration no node may have the bodies, this one included.
func (s *Service) regionBounds(from origin) residency.Bounds {
	configuration := s.config.Directory.View().Configuration
	if configuration == nil {
		return residency.NewBounds(residency.NoRegions(), "")
	}
	if !configuration.RestrictsRegions() {
		return residency.Bounds{}
	}
	allowed := residency.Set{}
	for _, name := range from.routes {
		allowed = allowed.And(allowedRegionsOf(configuration, name, from.tenant))
	}
	return residency.NewBounds(allowed, from.entryRegion)
}

// allowedRegionsOf returns the allowed regions for the bodies of a tenant's requests on a
// route.
func allowedRegionsOf(configuration *directory.Configuration, route, tenant string) residency.Set {
	declared := configuration.RouteByName(route)
	if declared == nil || (tenant != "" && configuration.Tenants.Named(tenant) == nil) {
		return residency.NoRegions()
	}
	return configuration.AllowedRegions(declared, tenant)
}

// withRegionBounds returns a context for store calls that carry bodies of a job.
func (s *Service) withRegionBounds(ctx context.Context, record jobstore.Record) context.Context {
	return residency.WithBounds(ctx, s.regionBounds(originOf(record)))
}

// withHeldRegionBounds is like withRegionBounds, for a job that this node runs.
func (s *Service) withHeldRegionBounds(ctx context.Context, id string) context.Context {
	s.mutex.Lock()
	held := s.jobs[id]
	s.mutex.Unlock()
	if held == nil {
		return residency.WithBounds(ctx, residency.NewBounds(residency.NoRegions(), s.config.Region))
	}
	return s.withRegionBounds(ctx, held.record)
}

// allowedNodes filters nodes to those that may have the bodies of a job, keeping their
// order. It returns all nodes while the origin is unknown.
func (s *Service) allowedNodes(from *origin, nodes []string) []string {
	if from == nil {
		return nodes
	}
	bounds := s.regionBounds(*from)
	if !bounds.Regions().IsRestricted() {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return !bounds.AllowsNode(s.regionOf(node)) })
}

// regionOf returns the region of a node, "" if unknown.
func (s *Service) regionOf(node string) string {
	if node == s.config.Self.Node {
		return s.config.Region
	}
	peer, _ := s.config.PeerTable.Get(node)
	return s.config.Directory.RegionOf(peer.Zone)
}

// isOutsideAllowedRegions reports whether this node is known not to be allowed the bodies
// of another node's job. The mutex must be held.
func (s *Service) isOutsideAllowedRegions(remote *remoteJob) bool {
	return remote.origin != nil && !s.regionBounds(*remote.origin).AllowsNode(s.config.Region)
}

// logNoSuccessor logs, once per job, that no other known node may take the job over. The
// job's origin must be known. The mutex must be held.
func (s *Service) logNoSuccessor(id string, remote *remoteJob) {
	if remote.noSuccessorLogged || remote.ended || s.config.Directory.View().Configuration == nil {
		return
	}
	remote.noSuccessorLogged = true
	s.config.Logger.Info("no possible successor for batch job: no other node is in its allowed regions", "request", id,
		"owner", remote.owner.Node, "allowed", s.regionBounds(*remote.origin).Regions().Regions(), "entry", remote.origin.entryRegion)
}

// logJobsWithoutSuccessor logs the open jobs that no other known node may take over. They
// wait until such a node joins. The mutex must be held.
func (s *Service) logJobsWithoutSuccessor() {
	nodes := s.config.PeerTable.NodeNames()
	for id, held := range s.jobs {
		from := originOf(held.record)
		if held.open() && len(ownership.Successors(s.allowedNodes(&from, nodes), s.config.Self.Node)) == 0 {
			s.config.Logger.Info("batch job not handed over: no other node is in its allowed regions", "request", id,
				"allowed", s.regionBounds(from).Regions().Regions(), "entry", from.entryRegion)
		}
	}
}

// checkReplicas returns an error if some request of the job has no replica in its allowed
// regions.
func (s *Service) checkReplicas(from origin) error {
	view := s.config.Directory.View()
	if !view.Configuration.RestrictsRegions() {
		return nil
	}
	for _, name := range from.routes {
		route := view.Configuration.RouteByName(name)
		if route != nil && !view.HasReplica(route, view.Configuration.AllowedRegions(route, from.tenant)) {
			s.metrics.withoutReplica.Inc()
			return &jobstore.NotAcceptedError{Cause: forward.ErrNoReplicaInAllowedRegions}
		}
	}
	return nil
}

// checkOffered checks that this node may run a job that another node submits to it. The
// two may have different configurations.
func (s *Service) checkOffered(request *SubmitRequest) error {
	from := originOf(s.recordOf(request))
	if !s.regionBounds(from).AllowsNode(s.config.Region) {
		return &jobstore.NotAcceptedError{Cause: ErrOutsideAllowedRegions}
	}
	return s.checkReplicas(from)
}
