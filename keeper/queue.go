package keeper

import "container/list"

// queue holds the newest entry of each operation that the log lacks, in the
// order in which they were made.
type queue struct {
	order *list.List
	byID  map[ID]*list.Element
}

func newQueue() queue { return queue{order: list.New(), byID: map[ID]*list.Element{}} }

func (q queue) len() int { return q.order.Len() }

// push adds an entry in place of an earlier one of its operation.
func (q queue) push(e *Entry) {
	q.remove(e.ID)
	q.byID[e.ID] = q.order.PushBack(e)
}

func (q queue) remove(id ID) {
	if x := q.byID[id]; x != nil {
		q.order.Remove(x)
		delete(q.byID, id)
	}
}

// written removes an entry, unless a newer one of its operation has replaced it.
func (q queue) written(e *Entry) {
	if x := q.byID[e.ID]; x != nil && x.Value == e {
		q.remove(e.ID)
	}
}

// first is the oldest entries, of at most so many bytes but at least one.
func (q queue) first(bytes int) []*Entry {
	var out []*Entry
	for x := q.order.Front(); x != nil; x = x.Next() {
		e := x.Value.(*Entry)
		if bytes -= e.size(); bytes < 0 && len(out) > 0 {
			break
		}
		out = append(out, e)
	}
	return out
}

// answerOverhead is the bytes, about, that an answer takes in memory beyond its
// own: its header's map most of all. Measured by cmd/oncebench.
const answerOverhead = 600

// fifo bounds the bytes of answers in memory.
type fifo struct {
	entries []*Entry
	bytes   int
}

func (f *fifo) push(e *Entry) {
	f.entries = append(f.entries, e)
	f.bytes += e.Answer.size() + answerOverhead
}

func (f *fifo) pop() *Entry {
	e := f.entries[0]
	f.entries = f.entries[1:]
	f.bytes -= e.Answer.size() + answerOverhead
	return e
}

// note makes an entry what is known of its operation. Over the bound, the
// oldest answers are given up: a repeated key is then told that it ran.
func (k *Keeper) note(e *Entry) {
	k.records[e.ID] = e
	if e.Answer == nil {
		return
	}
	k.answers.push(e)
	for k.answers.bytes > k.settings.AnswerCacheBytes {
		old := k.answers.pop()
		if k.records[old.ID] == old {
			bare := *old
			bare.Answer = nil
			k.records[old.ID] = &bare
		}
	}
}
