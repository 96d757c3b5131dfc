package starter

import (
	"context"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/connection/validator"
	"magnoliafront.dev/magnoliafront/internal/process/accountant"
	"magnoliafront.dev/magnoliafront/internal/process/leaser"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/process/reporter"
	"magnoliafront.dev/magnoliafront/internal/process/timekeeper"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/platform"
)

// The names of the duties and of their leases.
const (
	dutyUsage = "usage"
	dutyScale = "scale"
)

const (
	// usageCallShare and scaleCallShare are the shares of the duties in the calls per
	// second of all entries. A quarter is left for the calls of a holder that has just
	// lost its lease.
	usageCallShare = 0.25
	scaleCallShare = 0.5
	// flushDelay is the time in which the last usage update leaves the process.
	flushDelay = 20 * time.Millisecond
	// resignTimeout bounds the wait for the release of a lease at the end of the process.
	resignTimeout = 200 * time.Millisecond
	// ineligiblePeriod is the time for which an entry that gave up a duty leaves duties to
	// the others.
	ineligiblePeriod = 30 * time.Second
	// maxIdleAPIConnections is the maximum number of idle connections to the API: one for
	// each duty.
	maxIdleAPIConnections = 2
)

// duties holds the components of the duties that one entry at a time has. All of them are
// nil if the settings have no duties.
type duties struct {
	usageLease *leaser.Leaser
	reporter   *reporter.Reporter
	// scaleLease is nil until the configuration has a service whose number of upstreams
	// can be ordered.
	scaleLease atomic.Pointer[leaser.Leaser]
	// living holds the other entries that live, nil until this entry can know them.
	living atomic.Pointer[accountant.Living]
	// storeReachable reports whether this entry reaches the store.
	storeReachable func() bool
	// stopping is true once this entry wants no lease any more.
	stopping atomic.Bool
}

// dutiesRef passes what the forwarder and the syncer tell to the reporter, which starts
// after them. Calls before that are dropped.
type dutiesRef struct {
	reporter atomic.Pointer[reporter.Reporter]
}

func (r *dutiesRef) countUsage(organisation string) {
	if p := r.reporter.Load(); p != nil {
		p.Count(organisation)
	}
}

func (r *dutiesRef) receiveUsage(u accountant.Update) {
	if p := r.reporter.Load(); p != nil {
		p.Receive(u)
	}
}

// newAPI returns the client of the platform's API, nil without duties.
func newAPI(s loader.Gateway) (*platform.API, error) {
	if s.Duties == nil {
		return nil, nil
	}
	u, err := url.Parse(s.Duties.API)
	if err != nil {
		return nil, &Error{Op: "read the address of the API", Kind: ErrorSettings, Err: err}
	}
	return &platform.API{Address: u.Host, HTTPClient: &http.Client{
		Transport: &validator.Transport{Base: &http.Transport{
			DialContext:         carrier.Dialer().DialContext,
			MaxIdleConnsPerHost: maxIdleAPIConnections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}, nil
}

// newDuties starts the duties that the settings ask for.
func newDuties(lc fx.Lifecycle, s loader.Gateway, c timer.Clock, store *platform.Store, api *platform.API, p *peering, ref *dutiesRef, m *meter.Meter, rec *recoverer.Recoverer) (*duties, error) {
	d := &duties{storeReachable: p.syncer.IsPlatformReachable}
	if s.Duties == nil {
		return d, nil
	}
	started := c.Now()
	if s.Duties.Usage {
		d.usageLease = d.newLease(dutyUsage, s, started, c, store)
		if err := m.WatchDuty(dutyUsage, d.usageLease.Held); err != nil {
			d.usageLease.Stop()
			return nil, err
		}
	}
	d.reporter = d.newReporter(s, started, c, store, api, p, m, rec)
	ref.reporter.Store(d.reporter)
	lc.Append(fx.StopHook(func() {
		d.reporter.Stop()
		p.syncer.FlushUsage()
		sleep(context.Background(), c, flushDelay)
		stopLease(c, d.usageLease)
	}))
	return d, nil
}

// newLease returns the lease of a duty.
func (d *duties) newLease(duty string, s loader.Gateway, started time.Time, c timer.Clock, store *platform.Store) *leaser.Leaser {
	return leaser.New(leaser.Options{
		Duty: duty, Identity: s.Identity, Started: started, Duration: s.Duties.LeaseDurationValue(), Store: store, Clock: c,
		WantsLease: func() bool {
			living := d.living.Load()
			return living != nil && !d.stopping.Load() &&
				leaser.IsCandidateAmong(duty, s.Identity, d.isEligible(), living.All, living.Eligible)
		},
	})
}

// isEligible reports whether this entry can do duties: it reaches the store and has not
// given one up lately.
func (d *duties) isEligible() bool {
	for _, lease := range []*leaser.Leaser{d.usageLease, d.scaleLease.Load()} {
		if lease != nil && lease.GaveUpWithin(ineligiblePeriod) {
			return false
		}
	}
	return d.storeReachable() && !d.stopping.Load()
}

// newReporter returns the reporter. Without the duty of the usage reports it only tells
// which entries live.
func (d *duties) newReporter(s loader.Gateway, started time.Time, c timer.Clock, store *platform.Store, api *platform.API, p *peering, m *meter.Meter, rec *recoverer.Recoverer) *reporter.Reporter {
	o := reporter.Options{
		Self:   accountant.Incarnation{Entry: s.Identity, StartUnixMilli: started.UnixMilli()},
		Window: s.Duties.UsageWindowDuration(), Due: s.Duties.UsageDueDuration(),
		Pace:  leaser.NewPace(s.Duties.CallsPerSecond, usageCallShare),
		Store: store, API: api, Outcome: reportOutcome, Clock: c, Source: timekeeper.System{},
		Members: p.syncer.Listed, Publish: p.syncer.SendUsage, Living: func(l accountant.Living) { d.living.Store(&l) },
		Eligible: d.isEligible,
		Observe:  func(r reporter.Result, n int64) { m.UsageWindows(string(r), n) }, Recoverer: rec,
	}
	if d.usageLease != nil {
		o.Lease = d.usageLease
	}
	return reporter.New(o)
}

// reportOutcome returns the outcome of a usage report that an error of the API stands for.
func reportOutcome(err error) reporter.Outcome {
	switch {
	case platform.IsKind(err, platform.ErrorTokenRefused):
		return reporter.OutcomeTokenRefused
	case platform.IsKind(err, platform.ErrorRateLimited):
		return reporter.OutcomeRateLimited
	case platform.IsKind(err, platform.ErrorOutcomeUnknown):
		return reporter.OutcomeUnknown
	}
	return reporter.OutcomeFailed
}

// stats returns the states of the rings of the duties.
func (d *duties) stats() []buffer.Stats {
	if d.reporter == nil {
		return nil
	}
	return d.reporter.Stats()
}

// stopLease stops a lease, if there is one. It does not wait long for the store, which may
// be out of reach: the lease then ends by itself.
func stopLease(c timer.Clock, l *leaser.Leaser) {
	if l == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Stop()
	}()
	wake, stop := c.After(resignTimeout)
	defer stop()
	select {
	case <-done:
	case <-wake:
	}
}

// resignDuties registers the step of a stop in which this entry leaves its duties to the
// others, at once and without waiting for the store.
func resignDuties(lc fx.Lifecycle, d *duties) {
	lc.Append(fx.StopHook(func(context.Context) {
		d.stopping.Store(true)
		if d.usageLease != nil {
			d.usageLease.GiveUp("stopping")
		}
	}))
}
