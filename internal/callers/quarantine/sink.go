package quarantine

import (
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Replace takes a whole listing of the kind from package watchcache.
func (s *Service) Replace(objects []objectstore.Object, _ bool) {
	for _, object := range objects {
		if object.Name == ObjectName {
			s.applyRecord(object)
			return
		}
	}
	s.table.ApplyStored(nil, s.config.Clock())
}

// Apply takes changes of the kind from package watchcache.
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

// applyRecord takes the store's record. The age of a quarantine goes by the time of day;
// with a wrong clock the rest is shorter or longer, but never longer than the span.
func (s *Service) applyRecord(object objectstore.Object) {
	began, err := decodeRecord(object.Spec)
	if err != nil {
		s.config.Logger.Error(err, "record of quarantined requests cannot be read, or not in part", "revision", object.Revision)
	}
	if began == nil {
		return
	}
	now := s.config.Clock()
	listed := make(map[Fingerprint]time.Time, len(began))
	for request, at := range began {
		rest := min(s.config.Span, s.config.Span-now.Sub(at))
		listed[request] = now.Add(rest)
	}
	s.table.ApplyStored(listed, now)
}
