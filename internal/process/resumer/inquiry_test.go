package resumer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// kept returns the record of another entry, the n-th that the platform has stored.
func kept(entry string, n int64, at time.Duration, versions ...uint64) EntryRecord {
	return EntryRecord{Entry: entry, Record: Record{Served: served(versions...)}, Revision: n, WrittenAt: testTime().Add(at)}
}

// An entry that was out of step in a release took streams of the new version up at the old
// one, and entries in step refused the streams of one out of step.
func TestJudgeFollowsRecordsAndReplies(t *testing.T) {
	still, lively := kept("still", 1, 0, v1), kept("lively", 2, 0, v1, v2)
	unknown := func(entries ...string) map[string][]Served {
		out := map[string][]Served{}
		for _, e := range entries {
			out[e] = served(v1)
		}
		return out
	}
	release := []EntryRecord{still, lively}
	for _, c := range []struct {
		name string
		q    Inquiry
		want Judgement
	}{
		{"not read yet", Inquiry{}, Judgement{Verdict: VerdictWait}},
		{"read too late", Inquiry{Expired: true}, Judgement{VerdictRefuse, 0, "records_late"}},
		{"one version", Inquiry{Read: ReadDone, Records: []EntryRecord{still}}, Judgement{VerdictGoOn, v1, "only_version"}},
		{"of an entry that ended long ago", Inquiry{Read: ReadDone, Records: []EntryRecord{kept("ended", 1, -time.Hour, v2), kept("still", 2, 0, v1)}}, Judgement{VerdictGoOn, v1, "only_version"}},
		{"the same, but clocks disagree", Inquiry{Read: ReadDone, Records: []EntryRecord{kept("ended", 2, -time.Hour, v2), still}}, Judgement{Verdict: VerdictAsk}},
		{"two versions", Inquiry{Read: ReadDone, Records: release}, Judgement{Verdict: VerdictAsk}},
		{"no reply", Inquiry{Read: ReadDone, Records: release, Asked: true}, Judgement{Verdict: VerdictWait}},
		{"no reply in time", Inquiry{Read: ReadDone, Records: release, Asked: true, Expired: true}, Judgement{VerdictRefuse, 0, "entries_silent"}},
		{"only an entry of one version is silent", Inquiry{Read: ReadDone, Records: release, Asked: true, Replies: unknown("lively")}, Judgement{VerdictGoOn, v1, "silent_entries"}},
		{"all reply", Inquiry{Read: ReadDone, Records: release, Asked: true, Replies: unknown("still", "lively")}, Judgement{VerdictRefuse, 0, "begun_by_none"}},
		{"platform down", Inquiry{Read: ReadFailed, Others: 2}, Judgement{Verdict: VerdictAsk}},
		{"platform down, one of two replies", Inquiry{Read: ReadFailed, Others: 2, Asked: true, Replies: unknown("a")}, Judgement{Verdict: VerdictWait}},
		{"platform down, half reply in time", Inquiry{Read: ReadFailed, Others: 2, Asked: true, Replies: unknown("a"), Expired: true}, Judgement{VerdictGoOn, v1, "only_version_of_entries"}},
		{"platform down, another version", Inquiry{Read: ReadFailed, Others: 1, Asked: true, Replies: map[string][]Served{"a": served(v1, v2)}}, Judgement{VerdictRefuse, 0, "several_versions"}},
		{"cut off from all", Inquiry{Read: ReadFailed, Others: 2, Asked: true, Expired: true}, Judgement{VerdictRefuse, 0, "cut_off"}},
		{"no other entry", Inquiry{Read: ReadFailed}, Judgement{VerdictGoOn, v1, "only_entry"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.q.Service, c.q.Stream = "desk", 9
			is.New(t).Equal(newListed(v1).Judge(testTime(), c.q), c.want)
		})
	}
	t.Run("known", func(t *testing.T) {
		r := newListed(v1)
		r.HandleEvent(testTime(), Event{Kind: EventLearned, Streams: []Stream{{9, v2}}})
		is.New(t).Equal(r.Judge(testTime(), Inquiry{Service: "desk", Stream: 9}), Judgement{VerdictGoOn, v2, "known"})
		is.New(t).Equal(r.Reply(testTime(), []uint64{9, 10}), Reply{[]Stream{{9, v2}}, []uint64{10}, served(v1)})
	})
}

// A new version waited for the interval of streams, or the record of an entry that had ended
// stayed the newest.
func TestRecordsAreTakenForChangesAtOnceAndWithoutOnesNowAndThen(t *testing.T) {
	r := newListed(v1)
	assertTaken := func(after time.Duration, want bool) {
		t.Helper()
		_, ok := r.TakeRecord(testTime().Add(after), 10*time.Second)
		is.New(t).Equal(ok, want)
	}
	assertTaken(0, true)
	r.HandleEvent(testTime(), Event{Kind: EventListed, Served: served(v1, v2)})
	assertTaken(minAnnouncementInterval, true)
	r.HandleEvent(testTime(), Event{Kind: EventBegun, Streams: []Stream{{7, v1}}})
	assertTaken(time.Second, false)
	assertTaken(11*time.Second, true)
	assertTaken(12*time.Second, false)
	assertTaken(11*time.Second+recordLifetime, true)
}
