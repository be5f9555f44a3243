package placer

import "container/list"

// memory is the parts of prompts that an engine is believed to keep, the least
// recently used first. The zero memory is empty.
type memory struct {
	order  list.List // of *kept
	byKey  map[uint64]*list.Element
	tokens int
}

// kept is one part that an engine keeps.
type kept struct {
	key    uint64
	tokens int
}

// covered is the tokens of a prompt's first parts that are kept. A part is of use
// only where all parts before it are kept.
func (m *memory) covered(parts []Part) int {
	n := 0
	for _, p := range parts {
		if m.byKey[p.Key] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// add notes that a prompt's parts were used, and forgets the least recently used
// ones beyond room tokens.
func (m *memory) add(parts []Part, room int) {
	if m.byKey == nil {
		m.byKey = map[uint64]*list.Element{}
	}
	// From the last to the first: the parts that others build on stay longest.
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := m.byKey[p.Key]; e != nil {
			m.order.MoveToBack(e)
			continue
		}
		m.byKey[p.Key] = m.order.PushBack(&kept{key: p.Key, tokens: p.Tokens})
		m.tokens += p.Tokens
	}
	for m.tokens > room && m.order.Len() > 0 {
		e := m.order.Front()
		k := m.order.Remove(e).(*kept)
		delete(m.byKey, k.key)
		m.tokens -= k.tokens
	}
}
