package syncer

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
)

// assertMembers checks the identities of the other entries that the syncer knows after
// the list and the change that the test has sent.
func assertMembers(t *testing.T, list []accessor.Object, change accessor.Object, want ...string) {
	t.Helper()
	f := newOutageFixture(t)
	f.answer(entriesKind, storeAnswer{objects: list})
	f.answer(entriesKind, storeAnswer{changes: []accessor.Change{{Object: change}}})
	// The next poll follows the update of the change.
	f.afterBackoff(func() { f.answer(entriesKind, storeAnswer{}) })
	f.configure()
	is.New(t).Equal(slices.Sorted(maps.Keys(f.syncer.Members())), want)
}

// An object that names no entry to connect to was counted as an entry, which divided the
// retry budget, and was dialled for ever. An entry whose object became unreadable stayed
// until the next list.
func TestOddEntryObjectIsNoMember(t *testing.T) {
	entry := func(key, value string) accessor.Object { return accessor.Object{Key: key, Value: []byte(value)} }
	good := []accessor.Object{entry("entry-2", `{"address":"10.0.0.2:9001"}`), entry("entry-3", `{"address":"[2001:db8::3]:9001"}`)}
	t.Run("good entries", func(t *testing.T) {
		assertMembers(t, good[:1], good[1], "entry-2", "entry-3")
	})
	for _, value := range []string{`7`, `{}`, `{"address":"10.0.0.2:70000"}`, `{"address":"10.0.0.2:0"}`, `{"address":"10.0.0.2"}`, `{"address":"x"}`} {
		t.Run("odd entry "+value, func(t *testing.T) {
			assertMembers(t, append([]accessor.Object{entry("odd", value)}, good[0]), good[1], "entry-2", "entry-3")
		})
		t.Run("entry that becomes "+value, func(t *testing.T) {
			assertMembers(t, good, entry("entry-2", value), "entry-3")
		})
	}
}
