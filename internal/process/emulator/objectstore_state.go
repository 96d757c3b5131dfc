package emulator

import (
	"encoding/json"
	"slices"
	"strings"
)

// storeChange is one change in the history of an [ObjectStore].
type storeChange struct {
	revision int64
	kind     string
	object   StoreObject
	deleted  bool
}

// storeState is owned by the goroutine of an [ObjectStore].
type storeState struct {
	revision int64
	// compacted is the revision up to which the history has been dropped.
	compacted int64
	objects   map[string]map[string]StoreObject
	history   []storeChange
	waiters   []chan struct{}
}

// put creates or replaces an object. Writing an unchanged spec creates no
// revision.
func (st *storeState) put(kind, name string, spec json.RawMessage) StoreObject {
	old, exists := st.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	st.revision++
	o := StoreObject{Metadata: StoreMetadata{Name: name, Revision: st.revision, Created: st.revision}, Spec: spec}
	if exists {
		o.Metadata.Created = old.Metadata.Created
	}
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]StoreObject{}
	}
	st.objects[kind][name] = o
	st.appendChange(kind, o, false)
	return o
}

// remove deletes an object and returns it with the revision of the deletion, or a
// zero object if it doesn't exist.
func (st *storeState) remove(kind, name string) StoreObject {
	o, ok := st.objects[kind][name]
	if !ok {
		return o
	}
	delete(st.objects[kind], name)
	st.revision++
	o.Metadata.Revision = st.revision
	st.appendChange(kind, o, true)
	return o
}

func (st *storeState) appendChange(kind string, o StoreObject, deleted bool) {
	st.history = append(st.history, storeChange{revision: st.revision, kind: kind, object: o, deleted: deleted})
	st.wakeWaiters()
}

func (st *storeState) wakeWaiters() {
	for _, c := range st.waiters {
		close(c)
	}
	st.waiters = nil
}

// list returns the objects of a kind whose names follow after, sorted by name. It
// returns at most limit objects, or all if limit is zero.
func (st *storeState) list(kind, after string, limit int) []StoreObject {
	var out []StoreObject
	for _, o := range st.objects[kind] {
		if o.Metadata.Name > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b StoreObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out
}
