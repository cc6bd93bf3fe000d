package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

// score records the result of an item whose text is complete. If the item has a scorer,
// it sends the text there first.
func (s *scheduler) score(ran *itemRun, attempts func() int) {
	work := ran.item
	began := time.Now()
	result := jobstore.Result{ID: work.ID, State: jobstore.Succeeded, Text: work.progress.text(), Versions: work.progress.distinctVersions()}
	if work.Reward != nil {
		score, failed, scored := s.scorer.callReward(work, attempts)
		if !scored && !failed {
			return
		}
		result.Score = score
		if failed {
			result = jobstore.Result{ID: work.ID, State: jobstore.Abandoned}
			s.config.Logger.Info("item abandoned", "request", work.ID, "job", work.job.id, "reason", "scorer failed", "reward", work.Reward.ID)
		}
	}
	s.config.Logger.Info("item finished", append(ran.logFields(), "state", result.State, "rewardMs", time.Since(began).Milliseconds())...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finish(work, result)
}
