package syncer

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// FetchState requests the State of another entry.
type FetchState struct {
	// Version is the version of the configuration that the requesting entry has in
	// force.
	Version int64 `json:"version"`
}

// State is the configuration and the upstreams of an entry, in reply to FetchState.
type State struct {
	// Synced is true if the replying entry itself reaches the platform, not if it is
	// synced only through other entries.
	Synced bool `json:"synced"`
	// Configuration is set if it is newer than FetchState.Version.
	Configuration *matcher.Configuration `json:"configuration,omitempty"`
	Upstreams     []registrar.Upstream   `json:"upstreams"`
}

// Load is the load report of the sender: its requests in flight and its placements
// of prompt prefixes since its previous report. Entries send it to each other
// several times a second, so it has a compact binary encoding. Runs has a record
// for each upstream: 4 bytes with the hash of its instance ID, 1 byte with the
// number of requests and 1 byte with the pending tokens in units of
// [pendingTokensUnit]. Placed has a record for each placement: 4 bytes with the
// same hash and 8 bytes with the prefix.
type Load struct {
	Runs   []byte `json:"runs"`
	Placed []byte `json:"placed,omitempty"`
}

const (
	runsRecordSize   = 6
	placedRecordSize = 12
	// pendingTokensUnit is the resolution of pending tokens. An engine prefills
	// this many tokens in about 7 ms.
	pendingTokensUnit = 1024
)

// pack encodes loads and placements.
func pack(loads []dispatcher.Load, placements []dispatcher.Placement) Load {
	runs := make([]byte, 0, runsRecordSize*len(loads))
	for _, l := range loads {
		runs = binary.BigEndian.AppendUint32(runs, hashInstanceID(l.Upstream))
		runs = append(runs, byte(min(l.Runs, math.MaxUint8)), byte(min((l.PendingTokens+pendingTokensUnit/2)/pendingTokensUnit, math.MaxUint8)))
	}
	var placed []byte
	for _, p := range placements {
		placed = binary.BigEndian.AppendUint32(placed, hashInstanceID(p.Upstream))
		placed = binary.BigEndian.AppendUint64(placed, p.Prefix)
	}
	return Load{runs, placed}
}

// unpack decodes the loads and placements on known upstreams. Records of other
// upstreams are skipped.
func (l Load) unpack(known []registrar.Upstream) ([]dispatcher.Load, []dispatcher.Placement) {
	instanceIDs := make(map[uint32]string, len(known))
	for _, u := range known {
		id := u.InstanceID()
		instanceIDs[hashInstanceID(id)] = id
	}
	var loads []dispatcher.Load
	for b := l.Runs; len(b) >= runsRecordSize; b = b[runsRecordSize:] {
		if id, ok := instanceIDs[binary.BigEndian.Uint32(b)]; ok {
			loads = append(loads, dispatcher.Load{Upstream: id, Runs: int(b[4]), PendingTokens: int(b[5]) * pendingTokensUnit})
		}
	}
	var placements []dispatcher.Placement
	for b := l.Placed; len(b) >= placedRecordSize; b = b[placedRecordSize:] {
		if id, ok := instanceIDs[binary.BigEndian.Uint32(b)]; ok {
			placements = append(placements, dispatcher.Placement{Upstream: id, Prefix: binary.BigEndian.Uint64(b[4:])})
		}
	}
	return loads, placements
}

func hashInstanceID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}
