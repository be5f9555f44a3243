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
	by     *flight // that had it read
	shared bool    // several requests had it, or others build on it
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

// present is the same of parts that must be there by now: those that come with a
// request which has had no event yet can't be fetched from there.
func (m *memory) present(parts []Part) int {
	n := 0
	for _, p := range parts {
		e := m.byKey[p.Key]
		if e == nil || !e.Value.(*kept).by.begun {
			break
		}
		n += p.Tokens
	}
	return n
}

// forget takes that a request which was to bring parts ended before its first event:
// whether they were read is not known.
func (m *memory) forget(f *flight) {
	for _, p := range f.Parts {
		if e := m.byKey[p.Key]; e != nil && e.Value.(*kept).by == f {
			m.remove(e)
		}
	}
}

// shared is how many of the least recently used tokens others use: parts that several
// requests had, or on which others build. What one request alone had is of no use again.
func (m *memory) shared(tokens int) int {
	n := 0
	for e := m.order.Front(); e != nil && tokens > 0; e = e.Next() {
		k := e.Value.(*kept)
		if k.shared {
			n += min(k.tokens, tokens)
		}
		tokens -= k.tokens
	}
	return n
}

func (m *memory) remove(e *list.Element) {
	k := m.order.Remove(e).(*kept)
	delete(m.byKey, k.key)
	m.tokens -= k.tokens
}

// add notes that a request used its prompt's parts, and forgets the least recently
// used ones beyond room tokens.
func (m *memory) add(f *flight, room int) {
	parts := f.Parts
	if m.byKey == nil {
		m.byKey = map[uint64]*list.Element{}
	}
	// From the last to the first: the parts that others build on stay longest.
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := m.byKey[p.Key]; e != nil {
			m.order.MoveToBack(e)
			k := e.Value.(*kept)
			k.shared = k.shared || k.by != f
			continue
		}
		m.byKey[p.Key] = m.order.PushBack(&kept{key: p.Key, tokens: p.Tokens, by: f, shared: i < len(parts)-1})
		m.tokens += p.Tokens
	}
	for m.tokens > room && m.order.Len() > 0 {
		m.remove(m.order.Front())
	}
}
