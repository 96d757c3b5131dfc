package descriptor

import (
	"reflect"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

const hash = "1f3870be274f6c49b3e31a0c6728957f1f3870be274f6c49b3e31a0c6728957f"

// Both schema versions must decode to equal records, so that clients of version 1
// keep working while others migrate.
func TestBothSchemaVersionsDecodeToEqualRecords(t *testing.T) {
	for _, c := range []struct{ name, old, latest string }{
		{"streamed class",
			`{"schema_version":1,"kind":"class","name":"chat","priority":7,"target":"1s/33ms","repeatable":true}`,
			`{"schema_version":2,"kind":"class","name":"chat","tier":2,"first_token_target":"1s","token_gap_target":"33ms","repeatable":true}`},
		{"whole answer",
			`{"schema_version":1,"kind":"class","name":"draft","priority":1,"target":"60s","repeatable":true}`,
			`{"schema_version":2,"kind":"class","name":"draft","tier":8,"answer_target":"1m0s","repeatable":true}`},
		{"organisation",
			`{"schema_version":1,"kind":"organisation","name":"o","key_hashes":["` + hash + `"],"default_class":"chat","limit":12.5}`,
			`{"schema_version":2,"kind":"organisation","name":"o","key_hashes":["` + hash + `"],"default_class":"chat","request_rate":12.5}`},
		{"organisation with an empty list of classes",
			`{"schema_version":1,"kind":"organisation","name":"o","default_class":"chat","classes":[]}`,
			`{"schema_version":2,"kind":"organisation","name":"o","default_class":"chat","classes":[]}`},
		{"upstream",
			`{"schema_version":1,"kind":"upstream","name":"u","service":"s","type":"engine","address":"10.0.0.5:9001","availability_zone":"z","models":["m"],"capacity":16}`,
			`{"schema_version":2,"kind":"upstream","name":"u","service":"s","type":"engine","address":"10.0.0.5:9001","availability_zone":"z","models":["m"],"slots":16}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			records, err := DecodeFile([]byte("[" + c.old + "," + c.latest + "]"))
			is.NoErr(err)
			is.Equal(records[0].SchemaVersion, 1)
			records[0].SchemaVersion = 2
			is.Equal(records[0], records[1])
			assertEncoding(t, records[1], 1, c.old)
			assertEncoding(t, records[1], 2, c.latest)
		})
	}
}

func assertEncoding(t *testing.T, r Record, version int, want string) {
	t.Helper()
	is := is.New(t)
	data, err := EncodeVersion(r, version)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	expected, err := Decode([]byte(want))
	is.NoErr(err)
	is.Equal(got, expected)
}

// An error must identify the record and the field, so that an operator can
// correct it.
func TestDecodeErrorHasPathAndKind(t *testing.T) {
	const class = `{"schema_version":1,"kind":"class","name":"c","priority":4,"target":"60s"}`
	const upstream = `{"schema_version":2,"kind":"upstream","name":"u","service":"s","type":"engine","availability_zone":"z",`
	const organisation = `{"schema_version":2,"kind":"organisation","name":"o","default_class":"c",`
	for _, c := range []struct {
		name, data, path string
		kind             ErrorKind
	}{
		{"invalid target in the fourth record", `[` + class + `,` + class + `,` + class + `,{"schema_version":1,"kind":"class","name":"c","priority":1,"target":"soon"}]`, "[3].target", ErrorField},
		{"negative target", `{"schema_version":1,"kind":"class","name":"c","priority":1,"target":"1s/-33ms"}`, "target", ErrorField},
		{"negative duration", `{"schema_version":2,"kind":"class","name":"c","tier":1,"answer_target":"-1s"}`, "answer_target", ErrorField},
		{"unknown version", `{"schema_version":3,"kind":"class","name":"c"}`, "schema_version", ErrorVersion},
		{"missing version", `{"kind":"class","name":"c"}`, "schema_version", ErrorField},
		{"unknown kind", `{"schema_version":2,"kind":"pool","name":"c"}`, "kind", ErrorField},
		{"tier 0", `{"schema_version":2,"kind":"class","name":"c","tier":0}`, "tier", ErrorField},
		{"tier 9", `{"schema_version":2,"kind":"class","name":"c","tier":9}`, "tier", ErrorField},
		{"priority 9", `{"schema_version":1,"kind":"class","name":"c","priority":9}`, "priority", ErrorField},
		{"tier of version 2 in version 1", `{"schema_version":1,"kind":"class","name":"c","priority":1,"tier":1}`, "tier", ErrorField},
		{"duplicate field", `{"schema_version":2,"kind":"class","name":"c","tier":1,"tier":2}`, "tier", ErrorField},
		{"null value", `{"schema_version":2,"kind":"class","name":"c","tier":1,"repeatable":null}`, "repeatable", ErrorField},
		{"empty name", `{"schema_version":2,"kind":"class","name":"","tier":1}`, "name", ErrorField},
		{"slash in name", `{"schema_version":2,"kind":"class","name":"a/b","tier":1}`, "name", ErrorField},
		{"slots 0", upstream + `"address":"10.0.0.5:9001","slots":0}`, "slots", ErrorField},
		{"host name in address", upstream + `"address":"desk:9001","slots":1}`, "address", ErrorField},
		{"address without port", upstream + `"address":"10.0.0.5","slots":1}`, "address", ErrorField},
		{"empty model name", upstream + `"address":"10.0.0.5:9001","slots":1,"models":["m",""]}`, "models[1]", ErrorField},
		{"short hash", organisation + `"key_hashes":["ab"]}`, "key_hashes[0]", ErrorField},
		{"negative rate", organisation + `"request_rate":-1}`, "request_rate", ErrorField},
		{"fractional concurrency", organisation + `"concurrency":1.5}`, "concurrency", ErrorField},
		{"number instead of object", `[1]`, "[0]", ErrorSyntax},
		{"truncated object", `{"schema_version":2`, "", ErrorSyntax},
		{"two objects", class + class, "", ErrorSyntax},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertDecodeError(t, c.data, c.path, c.kind)
		})
	}
}

func assertDecodeError(t *testing.T, data, path string, kind ErrorKind) {
	t.Helper()
	is := is.New(t)
	_, err := DecodeFile([]byte(data))
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Path, path)
	is.Equal(e.Kind, kind)
}

// An update by a client of version 1 must not erase fields that only version 2
// has.
func TestPreserveNewerFieldsAppliesOnlyToVersion1(t *testing.T) {
	is := is.New(t)
	old := Record{SchemaVersion: 2, Kind: KindUpstream, Name: "u", Upstream: &Upstream{Slots: 4, KVTokens: 9}}
	next := Record{SchemaVersion: 1, Kind: KindUpstream, Name: "u", Upstream: &Upstream{Slots: 5}}
	is.Equal(PreserveNewerFields(old, next).Upstream.KVTokens, 9)
	is.Equal(PreserveNewerFields(old, next).Upstream.Slots, 5)
	is.Equal(next.Upstream.KVTokens, 0)
	next.SchemaVersion = 2
	is.Equal(PreserveNewerFields(old, next).Upstream.KVTokens, 0)
}

// Version 1 cannot express an answer target together with token targets, and must
// not encode such a class incorrectly.
func TestEncodeVersion1RejectsCombinedTargets(t *testing.T) {
	is := is.New(t)
	r := Record{Kind: KindClass, Name: "c", Class: &Class{Tier: 1, FirstTokenTarget: time.Second, AnswerTarget: time.Minute}}
	_, err := EncodeVersion(r, 1)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, ErrorVersion)
}

// Decoded records must be equal after encoding and decoding them again, and no
// input may cause a panic.
func FuzzDecodeFile(f *testing.F) {
	f.Add([]byte(`[{"schema_version":1,"kind":"class","name":"c","priority":4,"target":"1s/33ms"}]`))
	f.Add([]byte(`{"schema_version":2,"kind":"organisation","name":"o","default_class":"c","key_hashes":["` + hash + `"]}`))
	f.Add([]byte(`{"schema_version":2,"kind":"organisation","name":"o","default_class":"c","classes":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := DecodeFile(data)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("error of another type: %v", err)
			}
			return
		}
		for _, r := range records {
			again, err := Encode(r)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(again)
			r.SchemaVersion = SchemaVersion
			if err != nil || !reflect.DeepEqual(got, r) {
				t.Fatalf("%s: got %+v, want %+v: %v", again, got, r, err)
			}
		}
	})
}
