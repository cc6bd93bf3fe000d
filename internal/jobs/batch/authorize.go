package batch

import (
	"context"
	"errors"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
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
		stored, err := s.config.JobStore.Read(ctx, id)
		if err != nil {
			return err
		}
		s.mutex.Lock()
		s.learnStored(stored)
		s.mutex.Unlock()
		holder = stored.Record.Tenant
	}
	if holder != "" && holder != tenant {
		s.config.Logger.Info("batch job asked for by another tenant", "request", id, "holder", holder, "tenant", tenant)
		return jobstore.ErrNoSuchJob
	}
	return nil
}

// authorizeArrival tells whether a tenant may submit a job again that is stored already.
func (s *Service) authorizeArrival(ctx context.Context, arrival *Arrival) error {
	err := s.Authorize(ctx, arrival.ID, arrival.Tenant)
	switch {
	case errors.Is(err, jobstore.ErrNoSuchJob):
		return ErrOtherTenant
	case err != nil:
		return &jobstore.AcceptanceUnknownError{Cause: err}
	}
	return nil
}

// tenantOf returns a batch job's tenant, if it is known here.
func (s *Service) tenantOf(id string) (tenant string, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if held := s.jobs[id]; held != nil {
		return held.record.Tenant, true
	}
	if remote := s.remoteJobs[id]; remote != nil && remote.tenantKnown {
		return remote.tenant, true
	}
	return "", false
}

// learnStored records a job of another node as the store has it. The mutex must be held.
func (s *Service) learnStored(stored jobstore.StoredJob) *remoteJob {
	remote := s.learnRemote(stored.ID, stored.Record.Owner, stored.Record.Epoch, stored.Ended)
	remote.tenant, remote.tenantKnown = stored.Record.Tenant, true
	remote.learnOrigin(originOf(stored.Record))
	return remote
}
