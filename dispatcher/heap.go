package dispatcher

// heap is a binary heap whose items store their index, so that any of them can
// be removed or moved in logarithmic time.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(t T) *int
}

func (h *heap[T]) first() T { return h.items[0] }

func (h *heap[T]) push(t T) {
	h.items = append(h.items, t)
	*h.index(t) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.swap(i, last)
	*h.index(h.items[last]) = -1
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
}

// fix restores the order after the item at i has changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]), *h.index(h.items[j]) = i, j
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) bool {
	from := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return i > from
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return i > from
		}
		h.swap(i, child)
		i = child
	}
}
