package forwarder

import (
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
)

// handleNotice handles what upstream u said about itself in the answer to a request.
func (f *Forwarder) handleNotice(now time.Time, u registrar.Upstream, request string, n carrier.Notice) {
	if n.Draining && !f.registrar.AnnouncedDraining(u) {
		klog.InfoS("upstream draining", "upstream", u.InstanceID(), "service", u.Service, "address", u.Address,
			"request", request, "status", n.Status)
		f.registrar.HandleEvent(now, registrar.Event{Kind: registrar.EventDraining, Upstreams: []registrar.Upstream{u}})
		f.updateUpstreams(now)
	}
	if n.RetryAfter > 0 {
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventHeldBack, ID: request, Upstream: u, RetryAfter: n.RetryAfter})
	}
}
