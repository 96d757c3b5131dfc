package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// startPlatform starts a platform stand-in. It returns the store in which the test
// injects faults, and the URL of the platform.
func startPlatform(t *testing.T) (*emulator.FaultyStore, string) {
	t.Helper()
	p := emulator.NewPlatform()
	f := emulator.NewFaultyStore(emulator.FaultyStoreOptions{Store: p, Clock: timer.System{}, Seed: 1})
	srv := httptest.NewServer(emulator.PlatformHandler(f))
	t.Cleanup(func() { srv.Close(); f.Stop(); p.Stop() })
	return f, srv.URL
}

func assertExitCode(t *testing.T, code int, args ...string) string {
	t.Helper()
	var stdout, stderr bytes.Buffer
	got := run(t.Context(), nil, args, &stdout, &stderr)
	if got != code {
		t.Fatalf("%v: exit code %d, want %d\n%s%s", args, got, code, &stdout, &stderr)
	}
	return stdout.String() + stderr.String()
}

func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%s", part, text)
		}
	}
}

func writeRecordsFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "records.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

const classV1 = `{"schema_version":1,"kind":"class","name":"chat","priority":7,"target":"1s/33ms","repeatable":true}`

// Apply must print the state of each record, and the records of both examples must
// be valid as one set.
func TestApplyExamplesPrintsStateOfEachRecord(t *testing.T) {
	_, url := startPlatform(t)
	out := assertExitCode(t, 0, "apply", "--platform", url, "-f", "../../examples/drift-line", "-f", "../../examples/rempah-bersama")
	assertContains(t, out, "class hold created", "upstream desk-9 created", "upstream gudang-4 created", "revision 1\n")
	out = assertExitCode(t, 0, "apply", "--platform", url, "-f", "../../examples/drift-line")
	assertContains(t, out, "class hold unchanged", "revision 1\n")
	is.New(t).True(!strings.Contains(out, "created"))
}

// Records that were written in one schema version must be readable and writable in
// the other.
func TestRecordConvertsBetweenSchemaVersions(t *testing.T) {
	_, url := startPlatform(t)
	assertExitCode(t, 0, "apply", "--platform", url, "-f", writeRecordsFile(t, classV1))
	assertContains(t, assertExitCode(t, 0, "get", "--platform", url, "--json", "class", "chat"), `"priority": 7`, `"target": "1s/33ms"`)
	out := assertExitCode(t, 0, "get", "--platform", url, "--json", "--schema-version", "2", "class", "chat")
	assertContains(t, out, `"tier": 2`, `"token_gap_target": "33ms"`)
	out = assertExitCode(t, 0, "apply", "--platform", url, "-f", writeRecordsFile(t, `{"schema_version":2,"kind":"class","name":"chat","tier":3,"repeatable":true}`))
	assertContains(t, out, "class chat changed", "revision 2")
	assertContains(t, assertExitCode(t, 0, "get", "--platform", url, "--json", "--schema-version", "1", "class", "chat"), `"priority": 6`)
}

// Each kind of failure must have its own exit code and change no record.
func TestFailureExitsWithOwnCode(t *testing.T) {
	f, url := startPlatform(t)
	assertExitCode(t, 0, "apply", "--platform", url, "-f", writeRecordsFile(t, classV1))
	t.Run("invalid field exits as invalid and applies no record", func(t *testing.T) {
		out := assertExitCode(t, exitInvalid, "apply", "--platform", url, "-f", writeRecordsFile(t, "["+strings.Replace(classV1, "chat", "other", 1)+`,{"schema_version":1,"kind":"class","name":"x","priority":9}]`))
		assertContains(t, out, "records.json", "[1].priority", "1 to 8")
		assertExitCode(t, exitNotFound, "get", "--platform", url, "class", "other")
	})
	t.Run("unknown default class exits as invalid", func(t *testing.T) {
		out := assertExitCode(t, exitInvalid, "apply", "--platform", url, "-f", writeRecordsFile(t, `{"schema_version":2,"kind":"organisation","name":"o","default_class":"none"}`))
		assertContains(t, out, `"none"`)
	})
	t.Run("duplicate record exits as invalid", func(t *testing.T) {
		assertExitCode(t, exitInvalid, "apply", "--platform", url, "-f", writeRecordsFile(t, "["+classV1+","+classV1+"]"))
	})
	t.Run("record changed since base exits as conflict", func(t *testing.T) {
		assertExitCode(t, 0, "apply", "--platform", url, "-f", writeRecordsFile(t, strings.Replace(classV1, "7", "5", 1)))
		out := assertExitCode(t, exitConflict, "apply", "--platform", url, "--base", "1", "-f", writeRecordsFile(t, strings.Replace(classV1, "7", "6", 1)))
		assertContains(t, out, "mine:", `"tier":3`, "theirs:", `"tier":4`, "revision 2")
	})
	t.Run("withdraw of unknown record exits as not found and of known record succeeds", func(t *testing.T) {
		assertExitCode(t, exitNotFound, "withdraw", "--platform", url, "class", "none")
		assertContains(t, assertExitCode(t, 0, "withdraw", "--platform", url, "class", "chat"), "class chat withdrawn")
	})
	t.Run("unreachable platform exits as platform failure", func(t *testing.T) {
		f.Set(emulator.Faults{Down: true})
		assertExitCode(t, exitPlatform, "get", "--platform", url)
		assertExitCode(t, exitPlatform, "apply", "--platform", url, "-f", writeRecordsFile(t, classV1))
	})
	t.Run("missing flag exits as usage and help lists exit codes", func(t *testing.T) {
		assertExitCode(t, exitUsage, "apply", "--platform", url)
		assertContains(t, assertExitCode(t, 0, "--help"), "Exit codes", "3  conflict")
	})
}

// Get must print in which availability zones a record is not in force, and why.
func TestGetPrintsZonesWhereRecordIsNotInForce(t *testing.T) {
	f, url := startPlatform(t)
	assertExitCode(t, 0, "apply", "--platform", url, "-f", writeRecordsFile(t, classV1))
	assertContains(t, assertExitCode(t, 0, "get", "--platform", url), "no process has reported")
	since := time.Unix(1000, 0).UTC()
	put := func(s cataloger.Status) {
		data, err := json.Marshal(s)
		is.New(t).NoErr(err)
		_, err = f.Put(t.Context(), cataloger.StatusPrefix+s.AvailabilityZone, data, 0)
		is.New(t).NoErr(err)
	}
	put(cataloger.Status{AvailabilityZone: "stowe", MemberCount: 3, Reached: []cataloger.ReachedRevision{{Revision: 1, Since: since}}})
	assertContains(t, assertExitCode(t, 0, "get", "--platform", url, "class"), "in force since 1970-01-01T00:16:40Z")
	put(cataloger.Status{AvailabilityZone: "pinkham", MemberCount: 3, LaggingCount: 1, Lagging: []cataloger.LaggingProcess{{Identity: "agent-desk-3", Reason: "not heard of for 9s"}}})
	out := assertExitCode(t, 0, "get", "--platform", url, "class", "chat")
	assertContains(t, out, "not in force in pinkham: 1 of 3 processes behind (agent-desk-3 at revision 0: not heard of for 9s)")
}
