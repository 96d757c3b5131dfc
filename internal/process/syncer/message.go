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

// Load tells other entries what the sender has in flight. Entries send it to
// each other several times a second, so it is packed: for each upstream four
// bytes of a hash of its identity, one of the requests and one of the pending
// tokens in units of [loadUnit].
type Load struct {
	Packed []byte `json:"packed"`
}

const (
	loadSize = 6
	// loadUnit is the precision of pending tokens, about 7 ms of an engine.
	loadUnit = 1024
)

// pack returns the message for loads.
func pack(loads []dispatcher.Load) Load {
	out := make([]byte, 0, loadSize*len(loads))
	for _, l := range loads {
		out = binary.BigEndian.AppendUint32(out, shortName(l.Upstream))
		out = append(out, byte(min(l.Runs, math.MaxUint8)), byte(min((l.PendingTokens+loadUnit/2)/loadUnit, math.MaxUint8)))
	}
	return Load{out}
}

// unpack returns the loads of a message at the upstreams that this entry knows.
func (l Load) unpack(known []registrar.Upstream) []dispatcher.Load {
	names := make(map[uint32]string, len(known))
	for _, u := range known {
		names[shortName(u.Identity())] = u.Identity()
	}
	var out []dispatcher.Load
	for b := l.Packed; len(b) >= loadSize; b = b[loadSize:] {
		if name, ok := names[binary.BigEndian.Uint32(b)]; ok {
			out = append(out, dispatcher.Load{Upstream: name, Runs: int(b[4]), PendingTokens: int(b[5]) * loadUnit})
		}
	}
	return out
}

func shortName(identity string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(identity))
	return h.Sum32()
}
