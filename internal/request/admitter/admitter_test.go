package admitter

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// newSnapshot returns a snapshot with an organisation that owns the keys and has these
// further fields.
func newSnapshot(t *testing.T, fields string, keys ...string) *compiler.Snapshot {
	t.Helper()
	is := is.New(t)
	hashes := ""
	for i, key := range keys {
		sum := sha256.Sum256([]byte(key))
		hashes += fmt.Sprintf(`%s%q`, []string{"", ","}[min(i, 1)], hex.EncodeToString(sum[:]))
	}
	records, err := descriptor.DecodeFile([]byte(`[
		{"schema_version":2,"kind":"class","name":"chat","tier":1},
		{"schema_version":2,"kind":"class","name":"draft","tier":8},
		{"schema_version":2,"kind":"upstream","name":"desk-1","service":"desk","type":"engine","address":"10.0.0.5:9001","availability_zone":"z","models":["desk"],"slots":1},
		{"schema_version":2,"kind":"organisation","name":"guides","default_class":"chat","key_hashes":[` + hashes + `]` + fields + `}]`))
	is.NoErr(err)
	s, err := compiler.Compile(1, records)
	is.NoErr(err)
	return s
}

// assertStatus checks the status with which a request is refused, zero if it is admitted.
func assertStatus(t *testing.T, s *compiler.Snapshot, r Request, want int) {
	t.Helper()
	_, failure := Admit(s, r)
	status := 0
	if failure != nil {
		status = failure.Status
	}
	is.New(t).Equal(status, want)
}

// The hash of an empty string in a record, as from a variable that is not set, admitted
// requests without a key.
func TestAdmitRequiresKeyBesideHashOfEmptyKey(t *testing.T) {
	s := newSnapshot(t, "", "", "g1")
	assertStatus(t, s, Request{Model: "desk"}, http.StatusUnauthorized)
	assertStatus(t, s, Request{Model: "desk", APIKey: "g1"}, 0)
}

// An organisation whose last class was taken away got all classes, as one without a list.
func TestAdmitTellsEmptyListOfClassesFromMissing(t *testing.T) {
	for _, c := range []struct {
		name, fields string
		draft        int
	}{
		{"no list: all classes", "", 0},
		{"list with the class", `,"classes":["draft"]`, 0},
		{"list without the class", `,"classes":["chat"]`, http.StatusForbidden},
		{"empty list: the default class only", `,"classes":[]`, http.StatusForbidden},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot(t, c.fields, "g1")
			assertStatus(t, s, Request{Model: "desk", APIKey: "g1", Class: "draft"}, c.draft)
			assertStatus(t, s, Request{Model: "desk", APIKey: "g1", Class: "chat"}, 0)
			assertStatus(t, s, Request{Model: "desk", APIKey: "g1"}, 0)
		})
	}
}
