package dispatcher

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// newMeasuringDispatcher returns a dispatcher of one of three entries. Its upstreams have
// two slots each, and their number can be ordered.
func newMeasuringDispatcher() *Dispatcher {
	d := New(Settings{AvailabilityZone: "stowe", Seed: 1, MeasureDemand: true})
	d.Step(testTime(), Event{Kind: EventSynced, Synced: true})
	d.Step(testTime(), Event{Kind: EventEntryCount, Entries: 3})
	d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
		Version: 1, Routes: routes(), Keys: matcher.KeysOptional, Services: []matcher.Service{{Name: "desk", Scaling: &matcher.Scaling{MaxReplicas: 9}}, {Name: "booking"}},
	})})
	all := upstreams()
	for i := range all {
		all[i].Slots = 2
	}
	d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: all})
	return d
}

func receiveReport(d *Dispatcher, at time.Time, entry, availabilityZone string, r LoadReport) {
	r.AvailabilityZone = availabilityZone
	d.Step(at, Event{Kind: EventLoadReceived, Entry: entry, Report: r})
}

// The demand must contain the requests of all entries by the zone of the entry, with
// those that wait for a slot, or too few upstreams are ordered there.
func TestDemandAddsLoadOfAllEntries(t *testing.T) {
	is := is.New(t)
	d := newMeasuringDispatcher()
	receiveReport(d, testTime(), "entry-2", "pinkham", LoadReport{
		Loads: []Load{{"desk-0", 3, 2000}, {"desk-1", 4, 0}, {"desk-2", 1, 0}},
	})
	// The caller gets the only free slot.
	r := request("/chat/1")
	r.PromptTokens = 300
	assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: r}), 1)
	got := d.Demand(testTime())
	is.Equal(len(got.Services), 1)
	is.Equal(got.Services[0].Slots, 2)
	for i := range got.Services[0].Zones {
		got.Services[0].Zones[i].ArrivalRate = 0
	}
	is.Equal(got.Services[0].Zones, []ZoneDemand{
		{AvailabilityZone: "pinkham", Running: 6, Waiting: 2, PendingTokens: 2000},
		{AvailabilityZone: "stowe", Running: 1, PendingTokens: 300},
	})
}

// Silence of the other entries must not be taken for a low demand.
func TestDemandIsKnownOnceOthersReported(t *testing.T) {
	settled, learnt := testTime().Add(demandSettleTime), testTime().Add(learningTime)
	for _, c := range []struct {
		name  string
		at    time.Time
		heard []string
		want  bool
	}{
		{"all heard", settled, []string{"entry-2", "entry-3"}, true},
		{"too early", testTime().Add(time.Second), []string{"entry-2", "entry-3"}, false},
		{"half heard", settled, []string{"entry-2"}, false},
		{"none heard", settled, nil, false},
		{"reports too old", settled.Add(heardExpiry), []string{"entry-2", "entry-3"}, false},
		{"half heard for a long time", learnt, []string{"entry-2"}, true},
		{"half silent for a short time", learnt, []string{"entry-2", "silent entry-3"}, false},
		{"half silent for a long time", learnt.Add(recentPeriod), []string{"entry-2", "silent entry-3"}, true},
		{"none heard for a long time", learnt.Add(recentPeriod), nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newMeasuringDispatcher()
			for _, entry := range c.heard {
				receiveReport(d, testTime().Add(time.Second/2), entry, "stowe", LoadReport{})
				if c.at.After(settled.Add(heardExpiry)) && !strings.HasPrefix(entry, "silent") {
					receiveReport(d, c.at, entry, "stowe", LoadReport{})
				}
			}
			is.New(t).Equal(d.Demand(c.at).Known, c.want)
		})
	}
}

// Requests that are refused for want of upstreams show in no load. They must reach the
// holder, whichever entry refused them.
func TestRefusedRequestsAreReportedAsDemand(t *testing.T) {
	is := is.New(t)
	d := newMeasuringDispatcher()
	d.Step(testTime(), Event{Kind: EventUpstreams})
	assertKind(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")}), ActionFail)
	report := d.Step(testTime(), Event{Kind: EventTick})[0].Report
	is.Equal(report.Arrivals, []Arrivals{{"desk", 1, 1}})
	other := newMeasuringDispatcher()
	receiveReport(other, testTime(), "entry-1", "stowe", report)
	z := other.Demand(testTime()).Services[0].Zones[0]
	is.True(z.RefusalRate > 0)
	is.Equal(z.ArrivalRate, z.RefusalRate)
}

// The rate of a steady arrival of requests must be their number a second.
func TestArrivalRateFollowsArrivals(t *testing.T) {
	d := newMeasuringDispatcher()
	now := testTime()
	for range 30 {
		now = now.Add(time.Second)
		receiveReport(d, now, "entry-2", "stowe", LoadReport{Arrivals: []Arrivals{{"desk", 20, 0}}})
	}
	rate := d.Demand(now.Add(time.Second / 2)).Services[0].Zones[0].ArrivalRate
	is.New(t).True(math.Abs(rate-20) < 1)
}

// An idle entry must report once a second, or the demand would never be known; without
// the setting nothing must change.
func TestIdleEntryReportsOnlyIfDemandIsMeasured(t *testing.T) {
	count := func(d *Dispatcher) (reports int) {
		for i := range 20 {
			reports += len(d.Step(testTime().Add(time.Duration(i)*LoadReportInterval), Event{Kind: EventTick}))
		}
		return reports
	}
	is := is.New(t)
	is.Equal(count(newMeasuringDispatcher()), 4)
	is.Equal(count(newDispatcher()), 0)
}
