package syncer

import (
	"maps"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
)

const (
	// StrikesWait is the time for which an entry that starts waits for the strikes that
	// the others know. It must end while other entries are down as well.
	StrikesWait = 400 * time.Millisecond
	// strikesFetchInterval is the time between two fetches of strikes, and
	// strikesFetchPeers the number of entries to which each is sent, since some may be
	// down or have just started, too.
	strikesFetchInterval = 200 * time.Millisecond
	strikesFetchPeers    = 3
)

// KnownStrikes holds the active strikes that an entry knows, in reply to a message with
// the method [messenger.MethodFetchStrikes].
type KnownStrikes struct {
	Strikes []detector.Strike `json:"strikes"`
	// Complete is true unless the replying entry itself waits for those of the others.
	Complete bool `json:"complete"`
}

// strikesFetcher is the state of the fetches of strikes after the start.
type strikesFetcher struct {
	// ended is true once the strikes have arrived, or the wait is over.
	ended bool
	// until is the end of the wait, and next the time of the next fetch.
	until time.Time
	next  time.Time
	count int
}

// strikesFetchDue returns a channel that receives when the next fetch of strikes is due,
// and a function that releases its timer.
func (s *Syncer) strikesFetchDue() (<-chan time.Time, func()) {
	if s.strikes.ended {
		return nil, func() {}
	}
	return s.options.Clock.After(max(0, s.strikes.next.Sub(s.options.Clock.Now())))
}

// fetchStrikes requests the strikes of the next entries in round-robin order.
func (s *Syncer) fetchStrikes() {
	now := s.options.Clock.Now()
	if s.strikes.until.IsZero() {
		s.strikes.until = now.Add(StrikesWait)
	}
	s.strikes.ended = !now.Before(s.strikes.until)
	s.strikes.next = now.Add(strikesFetchInterval)
	identities := slices.Sorted(maps.Keys(s.Members()))
	for range min(strikesFetchPeers, len(identities)) {
		s.strikes.count++
		s.options.Send(identities[s.strikes.count%len(identities)], messenger.MethodFetchStrikes, struct{}{})
	}
}

// handleKnownStrikes passes the strikes of another entry to the forwarder.
func (s *Syncer) handleKnownStrikes(k KnownStrikes) {
	s.strikes.ended = s.strikes.ended || k.Complete
	s.options.Forwarder.LearnStrikes(k.Strikes, k.Complete)
}

// endFetchWithoutOthers ends the wait for strikes if there is no other entry.
func (s *Syncer) endFetchWithoutOthers() {
	if !s.strikes.ended && len(s.Members()) == 0 {
		s.handleKnownStrikes(KnownStrikes{Complete: true})
	}
}
