package syncer

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// FetchState asks another entry for what it knows of the platform.
type FetchState struct {
	// Version is that of the configuration that the asking entry has in force.
	Version int64 `json:"version"`
}

// State answers a FetchState.
type State struct {
	// Synced is true if the answering entry is in step with the platform.
	Synced bool `json:"synced"`
	// Configuration is set if it is newer than that of the asking entry.
	Configuration *matcher.Configuration `json:"configuration,omitempty"`
	Upstreams     []registrar.Upstream   `json:"upstreams"`
}

// Load tells other entries what the sender has in flight, and where it has sent
// prompt prefixes since it told last. Entries send it to each other several times
// a second, so it is packed. Runs has for each upstream four bytes of a hash of
// its identity, one of the requests and one of the pending tokens in units of
// [loadUnit]. Placed has for each placement the same hash and eight bytes of the
// prefix.
type Load struct {
	Runs   []byte `json:"runs"`
	Placed []byte `json:"placed,omitempty"`
}

const (
	runsSize   = 6
	placedSize = 12
	// loadUnit is the precision of pending tokens, about 7 ms of an engine.
	loadUnit = 1024
)

// pack returns the message for loads and placements.
func pack(loads []dispatcher.Load, placed []dispatcher.Placement) Load {
	runs := make([]byte, 0, runsSize*len(loads))
	for _, l := range loads {
		runs = binary.BigEndian.AppendUint32(runs, shortName(l.Upstream))
		runs = append(runs, byte(min(l.Runs, math.MaxUint8)), byte(min((l.PendingTokens+loadUnit/2)/loadUnit, math.MaxUint8)))
	}
	var prefixes []byte
	for _, p := range placed {
		prefixes = binary.BigEndian.AppendUint32(prefixes, shortName(p.Upstream))
		prefixes = binary.BigEndian.AppendUint64(prefixes, p.Prefix)
	}
	return Load{runs, prefixes}
}

// unpack returns the loads and placements of a message at the upstreams that
// this entry knows.
func (l Load) unpack(known []registrar.Upstream) ([]dispatcher.Load, []dispatcher.Placement) {
	names := make(map[uint32]string, len(known))
	for _, u := range known {
		identity := u.InstanceID()
		names[shortName(identity)] = identity
	}
	var loads []dispatcher.Load
	for b := l.Runs; len(b) >= runsSize; b = b[runsSize:] {
		if name, ok := names[binary.BigEndian.Uint32(b)]; ok {
			loads = append(loads, dispatcher.Load{Upstream: name, Runs: int(b[4]), PendingTokens: int(b[5]) * loadUnit})
		}
	}
	var placed []dispatcher.Placement
	for b := l.Placed; len(b) >= placedSize; b = b[placedSize:] {
		if name, ok := names[binary.BigEndian.Uint32(b)]; ok {
			placed = append(placed, dispatcher.Placement{Upstream: name, Prefix: binary.BigEndian.Uint64(b[4:])})
		}
	}
	return loads, placed
}

func shortName(identity string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(identity))
	return h.Sum32()
}
