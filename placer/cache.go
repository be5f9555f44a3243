package placer

import "container/list"

// prefixCache holds the prompt parts that an engine is assumed to cache, least recently used
// first. The zero prefixCache is empty.
type prefixCache struct {
	order  list.List // of *cachedPart
	byKey  map[uint64]*list.Element
	tokens int
}

// cachedPart is one part that an engine caches.
type cachedPart struct {
	key    uint64
	tokens int
	owner  *flight // flight for which it was prefilled
	shared bool    // several requests had it, or other parts build on it
}

// covered returns the tokens of a prompt's leading parts that are cached. A part is only of use
// if all parts before it are cached.
func (c *prefixCache) covered(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.byKey[p.Key] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// fetchable is like covered, for parts that must be present by now. Those of a request without
// a first event can't be fetched yet.
func (c *prefixCache) fetchable(parts []Part) int {
	n := 0
	for _, p := range parts {
		e := c.byKey[p.Key]
		if e == nil || !e.Value.(*cachedPart).owner.begun {
			break
		}
		n += p.Tokens
	}
	return n
}

// dropUnconfirmed removes the parts of a request that ended before its first event: whether they
// were prefilled is unknown.
func (c *prefixCache) dropUnconfirmed(f *flight) {
	for _, p := range f.Parts {
		if e := c.byKey[p.Key]; e != nil && e.Value.(*cachedPart).owner == f {
			c.remove(e)
		}
	}
}

// sharedTokens returns how many of the least recently used tokens are in parts that several
// requests had or that other parts build on. Parts of a single request are not used again.
func (c *prefixCache) sharedTokens(tokens int) int {
	n := 0
	for e := c.order.Front(); e != nil && tokens > 0; e = e.Next() {
		part := e.Value.(*cachedPart)
		if part.shared {
			n += min(part.tokens, tokens)
		}
		tokens -= part.tokens
	}
	return n
}

func (c *prefixCache) remove(e *list.Element) {
	part := c.order.Remove(e).(*cachedPart)
	delete(c.byKey, part.key)
	c.tokens -= part.tokens
}

// add records that a request uses its prompt's parts, and evicts the least recently used ones
// beyond room tokens.
func (c *prefixCache) add(f *flight, room int) {
	parts := f.Parts
	if c.byKey == nil {
		c.byKey = map[uint64]*list.Element{}
	}
	// In reverse order: the parts that others build on are kept longest.
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.byKey[p.Key]; e != nil {
			c.order.MoveToBack(e)
			part := e.Value.(*cachedPart)
			part.shared = part.shared || part.owner != f
			continue
		}
		c.byKey[p.Key] = c.order.PushBack(&cachedPart{key: p.Key, tokens: p.Tokens, owner: f, shared: i < len(parts)-1})
		c.tokens += p.Tokens
	}
	for c.tokens > room && c.order.Len() > 0 {
		c.remove(c.order.Front())
	}
}
