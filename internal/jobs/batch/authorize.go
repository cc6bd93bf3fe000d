package batch

import (
	"context"
	"errors"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

// Authorize checks that a tenant may read and end a batch job. It may if the job is its
// own or was accepted when no tenants were declared. An empty tenant (no tenants
// declared, or a public route) may access every job.
//
// The error is jobstore.ErrNoSuchJob for a job of another tenant, which hides its
// existence. Other errors mean that this node could not find out.
func (s *Service) Authorize(ctx context.Context, id, tenant string) error {
	if tenant == "" {
		return nil
	}
	owner, known := s.tenantOf(id)
	if !known {
		s.locate(ctx, id)
		owner, known = s.tenantOf(id)
	}
	if !known {
		stored, err := s.config.JobStore.Read(ctx, id)
		if err != nil {
			return err
		}
		s.mutex.Lock()
		s.learnStored(stored)
		s.mutex.Unlock()
		owner = stored.Record.Tenant
	}
	if owner != "" && owner != tenant {
		s.config.Logger.Info("batch job requested by another tenant", "request", id, "holder", owner, "tenant", tenant)
		return jobstore.ErrNoSuchJob
	}
	return nil
}

// authorizeResubmission checks that a tenant may submit a job again that is stored
// already.
func (s *Service) authorizeResubmission(ctx context.Context, request *SubmitRequest) error {
	err := s.Authorize(ctx, request.ID, request.Tenant)
	switch {
	case errors.Is(err, jobstore.ErrNoSuchJob):
		return ErrOtherTenant
	case err != nil:
		return &jobstore.AcceptanceUnknownError{Cause: err}
	}
	return nil
}

// tenantOf returns the tenant of a batch job if this node knows it.
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

// learnStored records another node's job from its stored record. The mutex must be held.
func (s *Service) learnStored(stored jobstore.StoredJob) *remoteJob {
	remote := s.learnRemote(stored.ID, stored.Record.Owner, stored.Record.Epoch, stored.Ended)
	remote.tenant, remote.tenantKnown = stored.Record.Tenant, true
	remote.learnOrigin(originOf(stored.Record))
	return remote
}
