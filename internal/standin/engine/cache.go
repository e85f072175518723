package engine

import (
	"slices"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
)

// prefixCache is an LRU cache of prompt prefixes and a log of its changes.
type prefixCache struct {
	capacity int
	keys     []string
	events   []*tamarackv1.CacheEvent
}

func newPrefixCache(capacity int) *prefixCache { return &prefixCache{capacity: capacity} }

// touch marks a prefix as most recently used and reports whether it was cached. It
// adds an absent prefix and evicts the least recently used one if the cache is full.
func (c *prefixCache) touch(key string) bool {
	if key == "" || c.capacity == 0 {
		return false
	}
	at := slices.Index(c.keys, key)
	if at >= 0 {
		c.keys = append(slices.Delete(c.keys, at, at+1), key)
		return true
	}
	c.keys = append(c.keys, key)
	c.events = append(c.events, &tamarackv1.CacheEvent{PrefixKey: key})
	if len(c.keys) > c.capacity {
		c.events = append(c.events, &tamarackv1.CacheEvent{PrefixKey: c.keys[0], Evicted: true})
		c.keys = slices.Delete(c.keys, 0, 1)
	}
	return false
}

// since returns the events after the cursor and advances the cursor to the end.
func (c *prefixCache) since(cursor *int) []*tamarackv1.CacheEvent {
	events := c.events[min(*cursor, len(c.events)):]
	*cursor = len(c.events)
	return events
}
