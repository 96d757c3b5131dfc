package syncer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
)

// An object whose revision cannot be read was ignored without a line in the log. Other
// ignored objects must be logged once for each revision, and must not be remembered
// without a limit.
func TestIgnoredObjectIsLoggedOncePerRevision(t *testing.T) {
	for _, c := range []struct {
		name      string
		revisions []int64
		want      []bool
	}{
		{"same revision", []int64{5, 5, 5}, []bool{true, false, false}},
		{"new revision", []int64{5, 6, 6}, []bool{true, true, false}},
		{"unreadable revision", []int64{0, 0}, []bool{true, false}},
		{"revision that becomes unreadable", []int64{5, 0, 0}, []bool{true, true, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Syncer{ignoredRevisions: map[string]int64{}}
			for i, revision := range c.revisions {
				is.New(t).Equal(s.isNewlyIgnored(accessor.Object{Key: "servers/odd", Version: revision}), c.want[i])
			}
		})
	}
	t.Run("many objects", func(t *testing.T) {
		s := &Syncer{ignoredRevisions: map[string]int64{}}
		for i := range 3 * maxIgnoredRevisions {
			is.New(t).True(s.isNewlyIgnored(accessor.Object{Key: fmt.Sprint("servers/", i), Version: 5}))
		}
		is.New(t).True(len(s.ignoredRevisions) <= maxIgnoredRevisions)
	})
}
