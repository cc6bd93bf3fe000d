package batch

import (
	"context"
	"errors"
	"github.com/pathtally/pathtally/internal/jobs/journal"
)

// Authorize tells whether a tenant may read and end a batch job: its own, and
// those that were accepted when no tenants were declared. For any other the job
// does not exist: the error is ErrNoSuchJob. Other errors mean that this node
// cannot tell. An empty tenant is that of a configuration without tenants and of
// public routes, and may do so with every job.
func (s *Service) Authorize(ctx context.Context, id, tenant string) error {
	if tenant == "" {
		return nil
	}
	holder, known := s.tenantOf(id)
	if !known {
		s.locate(ctx, id)
		holder, known = s.tenantOf(id)
	}
	if !known {
		standing, err := s.config.Journal.Read(ctx, id)
		if err != nil {
			return err
		}
		s.mutex.Lock()
		s.noteStanding(standing)
		s.mutex.Unlock()
		holder = standing.Record.Tenant
	}
	if holder != "" && holder != tenant {
		s.config.Logger.Info("batch job asked for by another tenant", "request", id, "holder", holder, "tenant", tenant)
		return journal.ErrNoSuchJob
	}
	return nil
}

// authorizeArrival tells whether a job that is kept already may be handed in
// again by a tenant.
func (s *Service) authorizeArrival(ctx context.Context, arrival *Arrival) error {
	err := s.Authorize(ctx, arrival.ID, arrival.Tenant)
	switch {
	case errors.Is(err, journal.ErrNoSuchJob):
		return ErrOtherTenant
	case err != nil:
		return &journal.UncertainError{Cause: err}
	}
	return nil
}

// tenantOf tells whose a batch job is, if that is known here.
func (s *Service) tenantOf(id string) (tenant string, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if held := s.jobs[id]; held != nil {
		return held.record.Tenant, true
	}
	if standing := s.known[id]; standing != nil && standing.tenantKnown {
		return standing.tenant, true
	}
	return "", false
}

// noteStanding records a batch job as the store has it. The mutex must be held.
func (s *Service) noteStanding(standing journal.StoredJob) *remoteJob {
	noted := s.noteRemote(standing.ID, standing.Record.Owner, standing.Record.Epoch, standing.Ended)
	noted.tenant, noted.tenantKnown = standing.Record.Tenant, true
	noted.noteOrigin(originOf(standing.Record))
	return noted
}
