package keeper

import "container/list"

// queue holds the newest record of each operation that is not in the log yet, in order of
// creation.
type queue struct {
	order *list.List
	byID  map[ID]*list.Element
}

func newQueue() queue { return queue{order: list.New(), byID: map[ID]*list.Element{}} }

func (q queue) len() int { return q.order.Len() }

// push adds a record in place of an earlier one of its operation.
func (q queue) push(e *Record) {
	q.remove(e.ID)
	q.byID[e.ID] = q.order.PushBack(e)
}

func (q queue) remove(id ID) {
	if x := q.byID[id]; x != nil {
		q.order.Remove(x)
		delete(q.byID, id)
	}
}

// written removes a record, unless a newer one of its operation has replaced it.
func (q queue) written(e *Record) {
	if x := q.byID[e.ID]; x != nil && x.Value == e {
		q.remove(e.ID)
	}
}

// oldest returns the oldest records up to a total size, but at least one.
func (q queue) oldest(bytes int) []*Record {
	var out []*Record
	for x := q.order.Front(); x != nil; x = x.Next() {
		e := x.Value.(*Record)
		if bytes -= e.size(); bytes < 0 && len(out) > 0 {
			break
		}
		out = append(out, e)
	}
	return out
}

// answerOverheadBytes is the approximate memory of an answer beyond its own bytes, mostly
// for its header's map. cmd/oncebench measures it.
const answerOverheadBytes = 600

// fifo holds the records that have an answer, oldest first, and their size in memory.
type fifo struct {
	records []*Record
	bytes   int
}

func (f *fifo) push(e *Record) {
	f.records = append(f.records, e)
	f.bytes += e.Answer.size() + answerOverheadBytes
}

func (f *fifo) pop() *Record {
	e := f.records[0]
	f.records = f.records[1:]
	f.bytes -= e.Answer.size() + answerOverheadBytes
	return e
}

// remember stores an operation's newest record in memory. Beyond AnswerCacheBytes, the
// oldest answers are dropped: a repeated key then gets KindGone.
func (k *Keeper) remember(e *Record) {
	k.records[e.ID] = e
	if e.Answer == nil {
		return
	}
	k.answers.push(e)
	for k.answers.bytes > k.settings.AnswerCacheBytes {
		old := k.answers.pop()
		if k.records[old.ID] == old {
			withoutAnswer := *old
			withoutAnswer.Answer = nil
			k.records[old.ID] = &withoutAnswer
		}
	}
}
