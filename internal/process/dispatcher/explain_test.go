package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// explainedRequest returns the i-th request of a mix with and without prefixes, of which
// some are withdrawn and some go on.
func explainedRequest(i int, now time.Time) Request {
	r := request([]string{"/chat/1", "/brief/1", "/check/1"}[i%3])
	r.ID, r.Received, r.Deadline = fmt.Sprint("r", i), now, now.Add(5*time.Second)
	r.Digest = r.ID
	r.PromptTokens = 500 * (i%5 + 1)
	if i%2 == 0 {
		r.Prefix, r.PrefixTokens = uint64(i%7+1), r.PromptTokens/2
	}
	return r
}

// manyUpstreams returns n upstreams of the service.
func manyUpstreams(n int) (out []registrar.Upstream) {
	for i := range n {
		out = append(out, registrar.Upstream{Name: fmt.Sprint("desk-", i), Service: "desk", Address: "10.0.0.1:80", Slots: 8})
	}
	return out
}

// An explanation that differs from the decision misleads, and one that changes the state
// makes the entry decide differently because it was asked. With 300 upstreams the picker
// samples at random.
func TestExplainPredictsNextDecision(t *testing.T) {
	for _, n := range []int{3, 40, 300} {
		t.Run(fmt.Sprint(n, " upstreams"), func(t *testing.T) {
			is := is.New(t)
			asked, other := newDispatcher(), newDispatcher()
			for _, d := range []*Dispatcher{asked, other} {
				d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: manyUpstreams(n)})
			}
			now := testTime()
			for i := range 200 {
				now = now.Add(7 * ms)
				r := explainedRequest(i, now)
				e := asked.Explain(now, r)
				is.Equal(asked.Explain(now, r), e)
				got := asked.Step(now, Event{Kind: EventArrived, Request: r})
				is.Equal(got, other.Step(now, Event{Kind: EventArrived, Request: r}))
				sent := got[len(got)-1]
				is.Equal(sent.Kind, ActionSend)
				is.Equal(e.Failure, nil)
				is.Equal([]any{e.Upstream, e.Deferred, e.ExpectedStart, e.PrefillTokens, e.Priority},
					[]any{sent.Upstream.InstanceID(), sent.Summary.Deferred, sent.Summary.ExpectedStart, sent.Summary.PrefillTokens, sent.Priority})
				is.Equal(e.Candidates[0].Exclusion, picker.NotExcluded)
				is.True(len(e.Candidates) <= picker.MaxCandidateReports)
				is.Equal(e.CandidateCount, n)
				if i%4 != 0 {
					end := Event{Kind: EventEnded, ID: r.ID, Attempt: 1, Outcome: OutcomeAnswered, Begun: true}
					is.Equal(asked.Step(now, end), other.Step(now, end))
				}
			}
		})
	}
}

// A request that would be refused must be explained with the failure that the caller
// would get.
func TestExplainGivesFailureOfCaller(t *testing.T) {
	now := testTime().Add(10 * ms)
	quarantine := func(d *Dispatcher) {
		for i := range detector.MaxBegunStrikes {
			d.Step(testTime(), Event{Kind: EventStrikesReceived, Strikes: []detector.Strike{{
				Fingerprint: "guides//chat/1", Upstream: fmt.Sprint("u", i), Observer: uint64(i + 1),
			}}})
		}
	}
	for _, c := range []struct {
		name    string
		path    string
		prepare func(d *Dispatcher)
		code    string
	}{
		{"unknown route", "/nowhere", func(*Dispatcher) {}, "unknown_route"},
		{"quarantined content", "/chat/1", quarantine, codeQuarantined},
		{"no upstream", "/chat/1", func(d *Dispatcher) { d.Step(testTime(), Event{Kind: EventUpstreams}) }, "no_upstream"},
		{"all held back", "/chat/1", func(d *Dispatcher) {
			for i := range upstreams() {
				holdBack(d, testTime(), i, time.Second)
			}
		}, codeHeldBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDispatcher()
			c.prepare(d)
			r := request(c.path)
			e := d.Explain(now, r)
			a := assertKind(t, d.Step(now, Event{Kind: EventArrived, Request: r}), ActionFail)
			is.Equal(e.Failure.Code, c.code)
			is.Equal(e.Failure.Code, a.Failure.Code)
			is.Equal(e.Upstream, "")
		})
	}
}

// An upstream that is ruled out must be listed with what ruled it out, not left out.
func TestExplainSaysWhatRulesUpstreamOut(t *testing.T) {
	d := newDispatcher()
	d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
		Version: 2, Routes: routes(), Keys: matcher.KeysOptional, Services: []matcher.Service{{Name: "desk", MaxConnections: 1}},
	})})
	var full string
	for i := range minConnections * 2 {
		r := explainedRequest(3*i, testTime())
		r.Prefix, r.PrefixTokens, r.PromptTokens = 7, 50_000, 60_000
		sent := assertKind(t, d.Step(testTime(), Event{Kind: EventArrived, Request: r}), ActionSend)
		if d.services["desk"].picker.Upstream(sent.Upstream.InstanceID()).Outstanding == minConnections {
			full = sent.Upstream.InstanceID()
			break
		}
	}
	for i, u := range upstreams() {
		if u.InstanceID() != full {
			holdBack(d, testTime(), i, time.Second)
			break
		}
	}
	is := is.New(t)
	counts := map[picker.Exclusion]int{}
	for _, c := range d.Explain(testTime(), request("/chat/2")).Candidates {
		counts[c.Exclusion]++
		is.Equal(c.Upstream == full, c.Exclusion == ExcludedConnectionShare)
	}
	is.Equal(counts, map[picker.Exclusion]int{picker.NotExcluded: 1, ExcludedConnectionShare: 1, picker.ExcludedHeldBack: 1})
}

// In a burst, the explanation must say which requests run after all others, and which are
// refused since they would begin too late.
func TestExplainPredictsPlacement(t *testing.T) {
	for _, c := range []struct {
		name          string
		pendingTokens int
		deferred      bool
		code          string
	}{
		{"in turn", 0, false, ""},
		{"deferred", 500_000, true, ""},
		{"refused", 1_000_000, false, codeOverloaded},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDispatcher()
			// The separator knows both kinds of requests from their arrivals.
			for i, path := range []string{"/chat/1", "/brief/1"} {
				r := request(path)
				r.ID, r.PromptTokens = fmt.Sprint("known-", i), 12_000*i
				d.Step(testTime(), Event{Kind: EventArrived, Request: r})
				d.Step(testTime(), Event{Kind: EventEnded, ID: r.ID, Attempt: 1, Outcome: OutcomeCancelled})
			}
			var loads []Load
			for _, u := range upstreams() {
				loads = append(loads, Load{u.InstanceID(), 1, c.pendingTokens})
			}
			d.Step(testTime(), Event{Kind: EventLoadReceived, Entry: "entry-2", Report: LoadReport{Loads: loads}})
			r := request("/brief/1")
			r.PromptTokens = 12_000
			e := d.Explain(testTime(), r)
			got := d.Step(testTime(), Event{Kind: EventArrived, Request: r})[0]
			is.Equal(e.Deferred, c.deferred)
			is.Equal(e.Upstream, got.Upstream.InstanceID())
			is.Equal([]any{e.Deferred, e.ExpectedStart}, []any{got.Summary.Deferred, got.Summary.ExpectedStart})
			is.Equal(e.Failure == nil, got.Failure == nil)
			if c.code != "" {
				is.Equal([]string{e.Failure.Code, got.Failure.Code}, []string{c.code, c.code})
			}
		})
	}
}
