package fairqueue

import "container/heap"

// indexed is a heap whose elements know their position, so that any element can be moved or
// removed in O(log n). It implements heap.Interface for the functions of container/heap.
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	// position returns the place where an element keeps its index; -1 means not in the heap.
	position func(T) *int
}

func (h *indexed[T]) Len() int           { return len(h.items) }
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}

func (h *indexed[T]) Push(x any) {
	v := x.(T)
	*h.position(v) = len(h.items)
	h.items = append(h.items, v)
}

func (h *indexed[T]) Pop() any {
	last := len(h.items) - 1
	v := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.position(v) = -1
	return v
}

func (h *indexed[T]) empty() bool { return len(h.items) == 0 }

// top returns the least element; the heap must not be empty.
func (h *indexed[T]) top() T { return h.items[0] }

// set makes v a member or not and restores the order after v's key changed.
func (h *indexed[T]) set(v T, member bool) {
	at := *h.position(v)
	switch {
	case member && at < 0:
		heap.Push(h, v)
	case member:
		heap.Fix(h, at)
	case at >= 0:
		heap.Remove(h, at)
	}
}
