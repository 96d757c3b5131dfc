// Package allocator divides the descriptors of a process among their uses.
//
// The limit is that of the process itself, RLIMIT_NOFILE. A part is kept for files. The
// rest, for sockets and pipes, has a share for each use, which bounds that use: callers
// that hold many connections take none from readiness checks, from the store or from the
// other processes of the system.
//
// The package decides only. Who uses descriptors keeps to the share.
//
// # Usage
//
//	shares := allocator.Divide(limit)
//	d := drainer.Serve(srv, l, drainer.Options{MaxConns: shares.Callers})
package allocator

const (
	// fileDescriptors is the number of descriptors for files.
	fileDescriptors = 200
	// ownDescriptors is the number of descriptors that the process needs for itself: event
	// polling, standard streams, listeners, and a connection that is being refused.
	ownDescriptors = 16
	// storeDescriptors, readinessDescriptors and metricsDescriptors are the shares of uses
	// whose need does not grow with the size of a deployment. A crowd of silent connections
	// to a listener passes through its share, and lets others in the sooner the larger it is.
	storeDescriptors     = 12
	readinessDescriptors = 32
	metricsDescriptors   = 8
	// maxPeerDescriptors is enough for one connection in each direction with 410 entries,
	// and for connections that are not authenticated yet.
	maxPeerDescriptors = 1024
	// minShare is the minimum of each share, however low the limit is.
	minShare = 8
	// unauthenticatedPart is the divisor for the part of the accepted connections of peers
	// that need not be authenticated. Those that are may take all.
	unauthenticatedPart = 4
)

// Shares are the numbers of descriptors of a process by use.
type Shares struct {
	// Callers is for accepted connections of callers.
	Callers int
	// Upstreams is for connections to upstreams.
	Upstreams int
	// PeersAccepted and PeersDialled are for connections with other processes of the
	// system, by who has opened them.
	PeersAccepted int
	PeersDialled  int
	// Store is for connections to the object store of the platform.
	Store int
	// Readiness and Metrics are for accepted connections of the load balancer and of
	// monitoring.
	Readiness int
	Metrics   int
}

// Divide divides the descriptors of a process that may open limit of them.
func Divide(limit int) Shares {
	s := Shares{Store: storeDescriptors, Readiness: readinessDescriptors, Metrics: metricsDescriptors}
	rest := max(0, limit-fileDescriptors-ownDescriptors-s.Store-s.Readiness-s.Metrics)
	peers := min(rest/8*3, maxPeerDescriptors)
	s.Callers = max(minShare, rest/2)
	s.PeersAccepted = max(minShare, peers/2)
	s.PeersDialled = max(minShare, peers/2)
	s.Upstreams = max(minShare, rest-rest/2-peers)
	return s
}

// Unauthenticated returns how many of the accepted connections of peers may be without a
// completed handshake.
func (s Shares) Unauthenticated() int { return max(1, s.PeersAccepted/unauthenticatedPart) }
