package scheduler

// heapElement is a value that a heap can hold. The heap stores the index of the
// value plus one in the int to which position points; zero means that the value
// is in no heap.
type heapElement[T any] interface {
	before(T) bool
	position() *int
}

// heap is a binary heap that can also remove or reorder any of its values. The
// zero value is empty.
type heap[T heapElement[T]] struct {
	values []T
}

func (h *heap[T]) top() (T, bool) {
	if len(h.values) == 0 {
		var zero T
		return zero, false
	}
	return h.values[0], true
}

func (h *heap[T]) push(v T) {
	h.values = append(h.values, v)
	*v.position() = len(h.values)
	h.siftUp(len(h.values) - 1)
}

// remove deletes v if it is in the heap.
func (h *heap[T]) remove(v T) {
	i := *v.position() - 1
	if i < 0 {
		return
	}
	last := len(h.values) - 1
	h.swap(i, last)
	var zero T
	h.values[last] = zero
	h.values = h.values[:last]
	*v.position() = 0
	if i < last {
		h.fix(h.values[i])
	}
}

// fix restores the heap order after the sort key of v has changed. It does
// nothing if v is in no heap.
func (h *heap[T]) fix(v T) {
	i := *v.position() - 1
	if i < 0 {
		return
	}
	if !h.siftDown(i) {
		h.siftUp(i)
	}
}

func (h *heap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.values[i].before(h.values[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// siftDown moves the value at index i down to its position and reports whether
// it moved.
func (h *heap[T]) siftDown(i int) bool {
	start := i
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h.values) && h.values[child].before(h.values[least]) {
				least = child
			}
		}
		if least == i {
			return i != start
		}
		h.swap(i, least)
		i = least
	}
}

func (h *heap[T]) swap(i, j int) {
	h.values[i], h.values[j] = h.values[j], h.values[i]
	*h.values[i].position() = i + 1
	*h.values[j].position() = j + 1
}
