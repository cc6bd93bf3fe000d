package batch

import (
	"strconv"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// remoteJob is a batch job that another node runs.
type remoteJob struct {
	owner jobstore.Owner
	// epoch is the owner's place among the job's owners, 0 for unknown.
	epoch int
	// lastHeartbeat is when the owner was last known to run it.
	lastHeartbeat time.Time
	ended         bool
	// tenant is whose job it is, if tenantKnown.
	tenant      string
	tenantKnown bool
	// origin decides where the job's bodies may be; nil while it is not known.
	origin *origin
	// waitLogged is set once the log says that the job waits for a node that may have it.
	waitLogged bool
	// rank is this node's place among those that may take the job over, as
	// worked out for a membership.
	rank       int
	membership uint64
	// rankedIn is the configuration that the rank was worked out in.
	rankedIn *directory.Configuration
	// leaving is set when the owner gives its jobs away.
	leaving bool
	// takingOver is set while this node takes it over.
	takingOver bool
	// retryAt is when a failed takeover may be tried again.
	retryAt time.Time
	// results are those read from the store, for answers while the owner is
	// silent, and chunks their number of objects.
	results []jobstore.Result
	chunks  int
	// total is how many items the job has, 0 while unknown.
	total int
	// final is set once the results were read to a seal, so that none can be added.
	final bool
	// sealAfter is when a further seal may be tried.
	sealAfter time.Time
}

// learnRemote records who runs a job in an epoch, 0 for unknown. An earlier epoch than the
// one known changes nothing: a former owner announces it until it has read the record. The
// mutex must be held.
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
		// The rank depends on who the owner is.
		remote.membership = 0
	}
	if ended {
		s.ends.Learn(id, time.Now())
	}
	remote.ended = remote.ended || s.ends.Has(id)
	return remote
}

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 36) }
