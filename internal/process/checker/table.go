package checker

// table is a map of bounded size that evicts the oldest key (FIFO). The zero
// value is empty.
type table[K comparable, V any] struct {
	values map[K]*V
	// order is a circular buffer of the keys in insertion order. The oldest key has
	// the index first once the table is full.
	order []K
	first int
}

// get returns the value of k, or nil if k is absent.
func (t *table[K, V]) get(k K) *V { return t.values[k] }

// add inserts a zero value for k, which must be absent. If the table already has
// limit values, it evicts the oldest one and returns it too.
func (t *table[K, V]) add(k K, limit int) (added, evicted *V) {
	if t.values == nil {
		t.values = map[K]*V{}
	}
	if len(t.order) < limit {
		t.order = append(t.order, k)
	} else {
		oldest := t.order[t.first]
		evicted = t.values[oldest]
		delete(t.values, oldest)
		t.order[t.first] = k
		t.first = (t.first + 1) % limit
	}
	added = new(V)
	t.values[k] = added
	return added, evicted
}
