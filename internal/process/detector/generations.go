package detector

// generations is a map of bounded size that forgets the keys that were not put for
// longest. It holds two generations of keys: a full one replaces the older one. The
// zero value with a limit is empty.
type generations[K comparable, V any] struct {
	// limit is the maximum number of keys of both generations together.
	limit    int
	young    map[K]V
	previous map[K]V
}

func (g *generations[K, V]) put(k K, v V) {
	if g.young == nil || len(g.young) >= g.limit/2 {
		g.previous, g.young = g.young, map[K]V{}
	}
	g.young[k] = v
}

func (g *generations[K, V]) get(k K) (V, bool) {
	if v, ok := g.young[k]; ok {
		return v, true
	}
	v, ok := g.previous[k]
	return v, ok
}
