package batch

import (
	"strconv"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// remoteJob is a batch job that another node runs. The service's mutex guards it.
type remoteJob struct {
	owner jobstore.Owner
	// epoch is the number of owners up to this one, 0 if unknown.
	epoch int
	// lastHeartbeat is when the owner was last known to run the job.
	lastHeartbeat time.Time
	ended         bool
	// tenant is the job's tenant, valid if tenantKnown is set.
	tenant      string
	tenantKnown bool
	// origin decides in which regions the job's bodies may be, nil if unknown.
	origin *origin
	// noSuccessorLogged is set once the log says that no other node may take the job over.
	noSuccessorLogged bool
	// rank caches this node's rank among those that may take the job over. It is valid
	// for one version of the membership, 0 for none.
	rank           int
	rankMembership uint64
	// rankConfiguration is the configuration for which rank is valid.
	rankConfiguration *directory.Configuration
	// leaving is set when the owner has announced that it hands its jobs over.
	leaving bool
	// takingOver is set while this node takes the job over.
	takingOver bool
	// retryAt is when a failed takeover may be retried.
	retryAt time.Time
	// results are those read from the store, and chunks their number of chunks, for reads
	// while the owner does not reply.
	results []jobstore.Result
	chunks  int
	// itemCount is the number of items of the job, 0 if unknown.
	itemCount int
	// sealed is set once results includes everything up to a seal, so that no more can
	// follow.
	sealed bool
	// sealRetryAt is when a seal may be attempted again.
	sealRetryAt time.Time
}

// learnRemote records the owner of a job and its epoch, which is 0 if unknown. An owner
// with an earlier epoch than the known one is ignored: it is a former owner that has not
// read the record yet. The mutex must be held.
func (s *Service) learnRemote(id string, owner jobstore.Owner, epoch int, ended bool) *remoteJob {
	remote := s.remoteJobs[id]
	if remote == nil {
		remote = &remoteJob{}
		s.remoteJobs[id] = remote
		s.ownerWatchWake.set()
	}
	switch {
	case remote.owner == owner:
		remote.epoch = max(remote.epoch, epoch)
	case !ownership.IsEarlierEpoch(epoch, remote.epoch):
		remote.owner, remote.epoch, remote.leaving = owner, epoch, false
		remote.lastHeartbeat = time.Now()
		// The cached rank depends on the owner.
		remote.rankMembership = 0
	}
	if ended {
		s.ends.Learn(id, time.Now())
	}
	remote.ended = remote.ended || s.ends.Has(id)
	return remote
}

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 36) }
