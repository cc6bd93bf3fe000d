package enginemodel

import "container/list"

// prefixCache keeps the most recently used prompts up to a token count.
type prefixCache struct {
	capacity int
	used     int
	order    *list.List
	byHash   map[uint64]*list.Element
}

type cachedPrefix struct {
	hash   uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), byHash: map[uint64]*list.Element{}}
}

// touch reports whether a prefix is cached, and caches it.
func (c *prefixCache) touch(hash uint64, tokens int) bool {
	if element, cached := c.byHash[hash]; cached {
		c.order.MoveToFront(element)
		return true
	}
	if tokens > c.capacity {
		return false
	}
	c.byHash[hash] = c.order.PushFront(cachedPrefix{hash: hash, tokens: tokens})
	c.used += tokens
	for c.used > c.capacity {
		oldest := c.order.Back()
		prefix := oldest.Value.(cachedPrefix)
		c.order.Remove(oldest)
		delete(c.byHash, prefix.hash)
		c.used -= prefix.tokens
	}
	return false
}

func (c *prefixCache) clear() {
	c.order.Init()
	c.used = 0
	clear(c.byHash)
}
