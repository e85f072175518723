package engine

import (
	"slices"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
)

// prefixCache holds the prompt prefixes used last.
type prefixCache struct {
	limit  int
	keys   []string
	events []*tamarackv1.CacheEvent
}

func newPrefixCache(limit int) *prefixCache { return &prefixCache{limit: limit} }

// use marks a prefix as used and is true when the cache held it.
func (c *prefixCache) use(key string) bool {
	if key == "" || c.limit == 0 {
		return false
	}
	at := slices.Index(c.keys, key)
	if at >= 0 {
		c.keys = append(slices.Delete(c.keys, at, at+1), key)
		return true
	}
	c.keys = append(c.keys, key)
	c.events = append(c.events, &tamarackv1.CacheEvent{PrefixKey: key})
	if len(c.keys) > c.limit {
		c.events = append(c.events, &tamarackv1.CacheEvent{PrefixKey: c.keys[0], Evicted: true})
		c.keys = slices.Delete(c.keys, 0, 1)
	}
	return false
}

// since returns the events after the cursor and moves it to the end.
func (c *prefixCache) since(cursor *int) []*tamarackv1.CacheEvent {
	events := c.events[min(*cursor, len(c.events)):]
	*cursor = len(c.events)
	return events
}
