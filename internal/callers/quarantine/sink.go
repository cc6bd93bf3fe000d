package quarantine

import (
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Replace applies a complete list of the objects of Kind. Package watchcache calls it.
func (s *Service) Replace(objects []objectstore.Object, _ bool) {
	// Deferred, so that no request is admitted before the list has been applied to the table.
	defer s.recordKnown.Store(true)
	for _, object := range objects {
		if object.Name == ObjectName {
			s.applyRecord(object)
			return
		}
	}
	s.table.ApplyStored(nil, s.config.Clock())
}

// Apply applies changes to objects of Kind. Package watchcache calls it.
func (s *Service) Apply(changes []objectstore.Change, _ bool) {
	for _, change := range changes {
		switch {
		case change.Object.Name != ObjectName:
		case change.Deleted:
			s.table.ApplyStored(nil, s.config.Clock())
		default:
			s.applyRecord(change.Object)
		}
	}
}

// applyRecord applies the stored record to the table. The age of a quarantine is computed from
// wall-clock time, so a wrong clock shortens or extends the rest of it, but never beyond
// Config.Duration.
func (s *Service) applyRecord(object objectstore.Object) {
	startTimes, err := decodeRecord(object.Spec)
	if err != nil {
		s.config.Logger.Error(err, "failed to decode quarantine record or some of its entries", "revision", object.Revision)
	}
	if startTimes == nil {
		return
	}
	now := s.config.Clock()
	ends := make(map[Fingerprint]time.Time, len(startTimes))
	for request, at := range startTimes {
		remaining := min(s.config.Duration, s.config.Duration-now.Sub(at))
		ends[request] = now.Add(remaining)
	}
	s.table.ApplyStored(ends, now)
}
