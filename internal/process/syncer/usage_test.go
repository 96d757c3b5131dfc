package syncer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accountant"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// names returns the names of two organisations by their hashes.
func names() map[uint32]string {
	t := matcher.New(matcher.Configuration{Organisations: []matcher.Organisation{{Name: "hule"}, {Name: "fida"}}})
	var n *organisationNames
	return n.update(t).byHash
}

func usageUpdate() accountant.Update {
	return accountant.Update{
		Sender: accountant.Incarnation{StartUnixMilli: 1_800_000_000_000}, Watermark: 360_000_000, Complete: true,
		Settled: 359_999_999, Token: 3, HeardToken: 3, Eligible: true,
		Rows: []accountant.Row{{Window: 360_000_001, Counts: accountant.Counts{"hule": 412, "fida": 1}}},
	}
}

// The rows of the others must arrive unchanged, or the usage would be reported wrong.
func TestUnpackRestoresPackedUsage(t *testing.T) {
	t.Run("known organisations", func(t *testing.T) {
		got, ok := unpackUsage(packUsage(usageUpdate()), names())
		is.New(t).True(ok)
		is.New(t).Equal(got, usageUpdate())
	})
	t.Run("an unknown organisation leaves the update incomplete", func(t *testing.T) {
		u := usageUpdate()
		u.Rows[0].Counts["new"] = 4
		got, ok := unpackUsage(packUsage(u), names())
		is.New(t).True(ok)
		is.New(t).True(!got.Complete)
		is.New(t).Equal(got.Rows, usageUpdate().Rows)
	})
	t.Run("truncated update is refused or shorter", func(t *testing.T) {
		packed := packUsage(usageUpdate())
		for i := range packed {
			got, ok := unpackUsage(packed[:i], names())
			is.New(t).True(!ok || len(got.Rows) == 0)
		}
	})
	t.Run("organisation that is removed stays known", func(t *testing.T) {
		old := (*organisationNames)(nil).update(matcher.New(matcher.Configuration{Organisations: []matcher.Organisation{{Name: "hule"}}}))
		is.New(t).Equal(old.update(matcher.New(matcher.Configuration{})).byHash[hashName("hule")], "hule")
	})
}

// A message of another entry may be damaged. It must not bring counts that are absurd, or
// end the process.
func FuzzUsage(f *testing.F) {
	f.Add(packUsage(usageUpdate()))
	f.Add([]byte{1, 2, 3, 4, 5, 1, 6, 255, 255, 255, 255, 15})
	known := names()
	f.Fuzz(func(t *testing.T, data []byte) {
		u, ok := unpackUsage(data, known)
		if !ok {
			return
		}
		is := is.New(t)
		is.True(len(u.Rows) <= maxUsageRows)
		for _, r := range u.Rows {
			for _, n := range r.Counts {
				is.True(n >= 0 && n <= maxUsageCount)
			}
		}
	})
}

// Updates must not grow the reports of an entry in which nothing is counted: entries send
// them to all others.
func TestUpdatesAreSentOnlyForChanges(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond int
		maximum   int
	}{
		{"idle", 0, 6},
		{"one request a second", 1, 11},
	} {
		t.Run(c.name, func(t *testing.T) {
			updates, _ := playUpdates(c.perSecond, 24)
			is.New(t).True(updates <= 5*c.maximum)
		})
	}
	for _, c := range []struct{ perSecond, organisations int }{{14, 24}, {8, 24}, {9, 210}} {
		updates, bytes := playUpdates(c.perSecond, c.organisations)
		t.Logf("%d requests/s of %d organisations: %.1f updates/s, %.0f B/s", c.perSecond, c.organisations, float64(updates)/5, float64(bytes)/5)
	}
}

// playUpdates returns the number and the packed bytes of the updates of an entry in five
// seconds, after a window.
func playUpdates(perSecond, organisations int) (updates, bytes int) {
	a := accountant.New(accountant.Settings{Window: 5 * time.Second, Due: 10 * time.Second})
	now := time.Unix(1_800_000_000, 0)
	for i := range 50 {
		now = now.Add(200 * time.Millisecond)
		for n := i * perSecond / 5; n < (i+1)*perSecond/5; n++ {
			a.Count(now, fmt.Sprint("organisation-", n*7%organisations))
		}
		u, ok := a.Publish(now, now)
		if i >= 25 && ok {
			updates, bytes = updates+1, bytes+len(packUsage(u))
		}
		if a.Watermark() > 0 {
			a.Settle(a.Watermark() - 1)
		}
	}
	return updates, bytes
}
