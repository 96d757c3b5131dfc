package starter

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/leaser"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/provisioner"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/platform"
)

// scalingCheckInterval is the time between two checks whether a service can be scaled,
// until there is one.
const scalingCheckInterval = time.Second

// provisioning holds the duty of the scale orders. It is nil until the configuration has a
// service whose number of upstreams can be ordered.
type provisioning struct {
	provisioner atomic.Pointer[provisioner.Provisioner]
	cancel      context.CancelFunc
	done        chan struct{}
}

// newProvisioning starts the duty once the configuration needs it, if the settings ask for
// it.
func newProvisioning(lc fx.Lifecycle, s loader.Gateway, c timer.Clock, store *platform.Store, api *platform.API, f *forwarder.Forwarder, d *duties, m *meter.Meter, rec *recoverer.Recoverer) (*provisioning, error) {
	p := &provisioning{done: make(chan struct{}), cancel: func() {}}
	if s.Duties == nil || !bool(s.Duties.Scale) {
		close(p.done)
		return p, nil
	}
	if err := m.WatchDuty(dutyScale, d.scaleHeld); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		if !awaitScaling(ctx, c, f) {
			return
		}
		lease := d.newLease(dutyScale, s, c.Now(), c, store)
		d.scaleLease.Store(lease)
		duty := provisioner.New(provisioner.Options{
			Clock: c, Lease: lease, Sender: orderSender{api: api, holder: s.Identity},
			Pace:     leaser.NewPace(s.Duties.CallsPerSecond, scaleCallShare),
			Snapshot: func(held bool) provisioner.Snapshot { return provisioningSnapshot(f, held) },
			Observe:  func(o provisioner.Outcome) { m.ScaleOrder(o.String()) }, Recoverer: rec,
		})
		p.provisioner.Store(duty)
		<-ctx.Done()
		duty.Stop()
		stopLease(c, lease)
	}()
	lc.Append(fx.StopHook(func() {
		p.cancel()
		<-p.done
	}))
	return p, nil
}

// resignProvisioning registers the step of a stop in which this entry leaves the duty to
// the others, without waiting for the store.
func resignProvisioning(lc fx.Lifecycle, p *provisioning) {
	lc.Append(fx.StopHook(func() { p.cancel() }))
}

// scaleHeld returns the fencing token of the scale orders and whether this entry is the
// holder.
func (d *duties) scaleHeld() (int64, bool) {
	if lease := d.scaleLease.Load(); lease != nil {
		return lease.Held()
	}
	return 0, false
}

// stats returns the states of the rings of the duty.
func (p *provisioning) stats() []buffer.Stats {
	if duty := p.provisioner.Load(); duty != nil {
		return duty.Stats()
	}
	return nil
}

// awaitScaling waits until a service can be scaled. It returns false if ctx ends first.
func awaitScaling(ctx context.Context, c timer.Clock, f *forwarder.Forwarder) bool {
	for ctx.Err() == nil {
		if hasScaling(f.State().Table) {
			return true
		}
		sleep(ctx, c, scalingCheckInterval)
	}
	return false
}

// hasScaling reports whether the number of upstreams of a service can be ordered.
func hasScaling(t *matcher.Table) bool {
	if t == nil {
		return false
	}
	for _, v := range t.Configuration.Services {
		if v.Scaling != nil {
			return true
		}
	}
	return false
}

// provisioningSnapshot returns the state on which orders are based.
func provisioningSnapshot(f *forwarder.Forwarder, held bool) provisioner.Snapshot {
	state := f.State()
	out := provisioner.Snapshot{Upstreams: state.Upstreams}
	if state.Table != nil {
		out.Services = state.Table.Configuration.Services
	}
	if held {
		out.Demand = f.Demand()
	}
	return out
}

// orderSender sends orders to the platform's API.
type orderSender struct {
	api    *platform.API
	holder string
}

// Order implements [provisioner.Sender].
func (s orderSender) Order(ctx context.Context, token int64, t provisioner.Target) provisioner.Outcome {
	err := s.api.OrderScale(ctx, s.holder, token, t.Service, t.AvailabilityZone, t.Desired)
	switch {
	case err == nil:
		return provisioner.OutcomeConfirmed
	case platform.IsKind(err, platform.ErrorTokenRefused):
		return provisioner.OutcomeTokenRefused
	case platform.IsKind(err, platform.ErrorRateLimited):
		return provisioner.OutcomeRateLimited
	case platform.IsKind(err, platform.ErrorOutcomeUnknown):
		return provisioner.OutcomeUnknown
	}
	return provisioner.OutcomeFailed
}
