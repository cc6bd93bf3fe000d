package watchcache

import (
	"github.com/pathtally/pathtally/internal/store/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

// apply applies the changes in a reply even if the polled node is not current: a cache
// never moves back to an older revision.
func (s *Source) apply(poll *wire.WatchPoll, reply *wire.WatchNews) error {
	for _, update := range reply.Kinds {
		for number, cache := range s.caches {
			if cache.kind != update.Kind {
				continue
			}
			if err := applyUpdate(cache, update, poll.Kinds[number].Revision); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyUpdate applies the update of one kind to a cache that was at revision since.
func applyUpdate(cache *Cache, update wire.KindNews, since uint64) error {
	switch {
	case update.Compressed != nil && update.Whole:
		objects, err := objectwire.Decompress(update.Compressed)
		if err != nil {
			return err
		}
		cache.Replace(objects, update.Revision, update.AfterOutage)
	case update.Compressed != nil:
		changes, err := objectwire.DecompressChanges(update.Compressed)
		if err != nil {
			return err
		}
		cache.Advance(since, changes, update.Revision, update.AfterOutage)
	case update.Whole:
		cache.Replace(objectwire.DecodeAll(update.Changes), update.Revision, update.AfterOutage)
	default:
		cache.Advance(since, objectwire.DecodeChanges(update.Changes), update.Revision, update.AfterOutage)
	}
	return nil
}
