package starter

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/bounder"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/allocator"
	"magnoliafront.dev/magnoliafront/internal/process/drainer"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/receiver"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/process/server"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// metricsHeadTimeout and metricsIdleTimeout bound the time for the head of a request at
	// the metrics endpoint, and the time between two. Scrapes are a minute apart at most.
	metricsHeadTimeout = time.Second
	metricsIdleTimeout = 2 * time.Minute
	// maxMetricsHeadBytes is the maximum size of a request head at the metrics endpoint.
	maxMetricsHeadBytes = 16 << 10
)

// newGatewayShares divides the descriptors of an entry among their uses. Its memory bounds
// the connections of callers as well, since each has buffers.
func newGatewayShares(s loader.Gateway) (allocator.Shares, error) {
	shares, err := newShares()
	if limit := s.MemoryLimitBytes(); limit > 0 && shares.Callers > reserver.MaxConnections(limit) {
		shares.Callers = reserver.MaxConnections(limit)
		klog.InfoS("connections of callers limited by memory", "memory_limit_mb", s.MemoryLimitMB, "callers", shares.Callers)
	}
	return shares, err
}

// newShares divides the descriptors of the process among their uses.
func newShares() (allocator.Shares, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return allocator.Shares{}, &Error{Op: "read the limit of descriptors", Kind: ErrorSettings, Err: err}
	}
	// The limit may be unlimited, which is the largest number.
	shares := allocator.Divide(int(min(limit.Cur, math.MaxInt32)))
	klog.InfoS("descriptors divided", "limit", limit.Cur, "callers", shares.Callers, "upstreams", shares.Upstreams,
		"peers_accepted", shares.PeersAccepted, "peers_dialled", shares.PeersDialled, "store", shares.Store,
		"readiness", shares.Readiness, "metrics", shares.Metrics)
	return shares, nil
}

// listenForPeers accepts the connections of other processes within their share.
func listenForPeers(address string, o messenger.Options, routes acceptor.Routes, c timer.Clock, shares allocator.Shares) (*acceptor.Acceptor, error) {
	return acceptor.NewLimited(address, o, routes, acceptor.Limits{
		Clock: c, MaxConns: shares.PeersAccepted, MaxUnauthenticated: shares.Unauthenticated(),
	})
}

// listenForMetrics serves metrics within their share.
func listenForMetrics(lc fx.Lifecycle, address string, h http.Handler, c timer.Clock, shares allocator.Shares) error {
	l, err := bounder.Listen(context.Background(), address, bounder.Options{Clock: c})
	if err != nil {
		return &Error{Op: "listen on " + address, Kind: ErrorListen, Err: err}
	}
	srv := &http.Server{Handler: h, ReadTimeout: metricsHeadTimeout, IdleTimeout: metricsIdleTimeout, MaxHeaderBytes: maxMetricsHeadBytes}
	d := drainer.Serve(srv, l, drainer.Options{Clock: c, Name: "metrics", MaxConns: shares.Metrics})
	lc.Append(fx.StopHook(d.Close))
	return nil
}

// watchGatewayConnections exports the connections of an entry that calls its upstreams
// directly.
func watchGatewayConnections(m *meter.Meter, r *receiver.Receiver, f *forwarder.Forwarder, p *peering) error {
	return m.WatchConnections(func() []meter.Connections {
		u := f.Connections()
		upstreams := meter.Connections{
			Use: "upstreams", Open: u.Open, Limit: u.Limit, Closed: map[string]uint64{"evicted": u.Evicted, "refused": u.Refused},
		}
		return append(servedConnections(r.Connections()...), upstreams, peerConnections(p.acceptor))
	})
}

// watchEntryConnections exports the connections of an entry with agents.
func watchEntryConnections(m *meter.Meter, s *server.Server, a *acceptor.Acceptor) error {
	return m.WatchConnections(func() []meter.Connections {
		return append(servedConnections(s.Connections()), peerConnections(a))
	})
}

// watchAgentConnections exports the connections of an agent.
func watchAgentConnections(m *meter.Meter, a *acceptor.Acceptor) error {
	return m.WatchConnections(func() []meter.Connections { return []meter.Connections{peerConnections(a)} })
}

// servedConnections returns the connections of HTTP servers for the metrics.
func servedConnections(servers ...drainer.Connections) []meter.Connections {
	var all []meter.Connections
	for _, c := range servers {
		c.Closed["refused"] = c.Refused
		all = append(all, meter.Connections{Use: c.Name, Open: c.Open, Limit: c.Limit, Closed: c.Closed, AcceptFailures: c.AcceptFailures})
	}
	return all
}

// peerConnections returns the connections of an acceptor for the metrics.
func peerConnections(a *acceptor.Acceptor) meter.Connections {
	c := a.Connections()
	return meter.Connections{
		Use: "peers", Open: c.Open, Limit: c.Limit, AcceptFailures: c.AcceptFailures,
		Closed: map[string]uint64{"evicted": c.Evicted, "refused": c.Refused},
	}
}

// receiverRef passes changes of the configuration to the receiver, which starts after the
// forwarder.
type receiverRef struct {
	receiver atomic.Pointer[receiver.Receiver]
}

func (r *receiverRef) refreshLimits() {
	if rec := r.receiver.Load(); rec != nil {
		rec.RefreshLimits()
	}
}

// set makes the receiver get later changes. One that has come before is put in force.
func (r *receiverRef) set(rec *receiver.Receiver) {
	r.receiver.Store(rec)
	rec.RefreshLimits()
}
