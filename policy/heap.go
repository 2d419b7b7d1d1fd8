package policy

// heap is an indexed binary heap of pointers: it tracks the position of each
// element, so that any element can be moved or removed in O(log n). It allocates
// only when it grows.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// place stores the position of an element, or -1 once it was removed.
	place func(x T, i int)
}

func (h *heap[T]) len() int { return len(h.items) }

// top returns the least element. The heap must not be empty.
func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	h.place(x, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// remove removes and returns the element at position i.
func (h *heap[T]) remove(i int) T {
	x := h.items[i]
	last := len(h.items) - 1
	if i != last {
		h.swap(i, last)
	}
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i != last {
		h.fix(i)
	}
	h.place(x, -1)
	return x
}

// fix restores the heap order after the element at position i changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
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
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return i > start
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return i > start
		}
		h.swap(i, child)
		i = child
	}
}
