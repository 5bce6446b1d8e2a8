package fairqueue

import "container/heap"

// indexedHeap is a heap whose elements store their position, so that any element can be moved or
// removed in O(log n). It implements heap.Interface.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// position returns a pointer to the element's index in the heap; the index is -1 if it is not in the heap.
	position func(T) *int
}

func (h *indexedHeap[T]) Len() int           { return len(h.items) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}

func (h *indexedHeap[T]) Push(x any) {
	v := x.(T)
	*h.position(v) = len(h.items)
	h.items = append(h.items, v)
}

func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	v := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.position(v) = -1
	return v
}

func (h *indexedHeap[T]) empty() bool { return len(h.items) == 0 }

// top returns the smallest element; the heap must not be empty.
func (h *indexedHeap[T]) top() T { return h.items[0] }

// update adds or removes v as requested, or restores the heap order after the key of v has changed.
func (h *indexedHeap[T]) update(v T, member bool) {
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
