package batch

import (
	"strconv"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/journal"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// remoteJob is a batch job that another node runs.
type remoteJob struct {
	owner journal.Owner
	// epoch is the owner's place among the job's owners, 0 for unknown.
	epoch int
	// heard is when the owner was heard to run it.
	heard time.Time
	ended bool
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
	taking  bool
	// notBefore is when a failed takeover may be tried again.
	notBefore time.Time
	// results are those read from the store, for answers while the owner is
	// silent, and chunks their number of objects.
	results []journal.Result
	chunks  int
	// total is how many items the job has, 0 while unknown.
	total int
	// final is set once the results were read to a seal, so that none can be added.
	final bool
	// sealAfter is when a further seal may be tried.
	sealAfter time.Time
}

// noteRemote records who runs a job in an epoch, 0 for unknown. An earlier epoch than
// the one known changes nothing: a former owner says so until it has looked the record
// up. The mutex must be held.
func (s *Service) noteRemote(id string, owner journal.Owner, epoch int, ended bool) *remoteJob {
	standing := s.known[id]
	if standing == nil {
		standing = &remoteJob{}
		s.known[id] = standing
		s.toWatch.set()
	}
	switch {
	case standing.owner == owner:
		standing.epoch = max(standing.epoch, epoch)
	case !isEarlier(epoch, standing.epoch):
		standing.owner, standing.epoch, standing.leaving = owner, epoch, false
		standing.heard = time.Now()
		// The rank depends on who the owner is.
		standing.membership = 0
	}
	if ended {
		s.ends.learn(id)
	}
	standing.ended = standing.ended || s.ends.has(id)
	return standing
}

// isEarlier tells whether an epoch is known to be before another one.
func isEarlier(epoch, other int) bool { return epoch > 0 && epoch < other }

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 36) }
