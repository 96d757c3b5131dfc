package syncer

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
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
// same hash and 8 bytes with the prefix. Shares has a record for each service whose
// requests with long prompts get upstreams of their own: 4 bytes with the hash of its
// name and 1 byte with the share of the upstreams in units of 1/255. Arrived has a record
// for each service whose number of upstreams can be ordered and that has got requests: 4
// bytes with the hash of its name, and 2 bytes each with the requests that arrived and
// those that were refused for want of room.
type Load struct {
	Runs   []byte `json:"runs"`
	Placed []byte `json:"placed,omitempty"`
	Shares []byte `json:"shares,omitempty"`
	// Lost has 4 bytes with the hash of the instance ID for each upstream that the sender
	// has lost since its previous report.
	Lost []byte `json:"lost,omitempty"`
	// Kinds is what the sender has learned of the requests of its services; see
	// [packKinds].
	Kinds   []byte `json:"kinds,omitempty"`
	Arrived []byte `json:"arrived,omitempty"`
	// Streams has a record for each stream that the sender has begun: 8 bytes each with the
	// digests of the stream and of its software version.
	Streams []byte `json:"streams,omitempty"`
	// Usage is the packed usage update of the sender; see [packUsage]. A message that has
	// only an update has no Runs.
	Usage []byte `json:"usage,omitempty"`
}

const (
	runsRecordSize    = 6
	placedRecordSize  = 12
	sharesRecordSize  = 5
	lostRecordSize    = 4
	arrivedRecordSize = 8
	streamsRecordSize = 16
	// pendingTokensUnit is the resolution of pending tokens. An engine prefills
	// this many tokens in about 7 ms.
	pendingTokensUnit = 1024
)

// pack encodes a report.
func pack(r dispatcher.LoadReport) Load {
	runs := make([]byte, 0, runsRecordSize*len(r.Loads))
	for _, l := range r.Loads {
		runs = binary.BigEndian.AppendUint32(runs, hashName(l.Upstream))
		runs = append(runs, byte(min(l.Runs, math.MaxUint8)), byte(min((l.PendingTokens+pendingTokensUnit/2)/pendingTokensUnit, math.MaxUint8)))
	}
	var placed []byte
	for _, p := range r.Placements {
		placed = binary.BigEndian.AppendUint32(placed, hashName(p.Upstream))
		placed = binary.BigEndian.AppendUint64(placed, p.Prefix)
	}
	var shares []byte
	for _, s := range r.Shares {
		shares = binary.BigEndian.AppendUint32(shares, hashName(s.Service))
		shares = append(shares, byte(math.Round(min(max(s.Share, 0), 1)*math.MaxUint8)))
	}
	var lost []byte
	for _, id := range r.Lost {
		lost = binary.BigEndian.AppendUint32(lost, hashName(id))
	}
	return Load{
		Runs: runs, Placed: placed, Shares: shares, Lost: lost, Kinds: packKinds(r.Kinds), Arrived: packArrivals(r.Arrivals),
		Streams: packStreams(r.Streams),
	}
}

// unpack decodes the report as far as it concerns known upstreams, their services, and
// routes, whose names are given by their hashes. Other records are skipped.
func (l Load) unpack(known []registrar.Upstream, routes map[uint32]string) dispatcher.LoadReport {
	instanceIDs, services := make(map[uint32]string, len(known)), map[uint32]string{}
	for _, u := range known {
		id := u.InstanceID()
		instanceIDs[hashName(id)] = id
		services[hashName(u.Service)] = u.Service
	}
	var r dispatcher.LoadReport
	for b := l.Runs; len(b) >= runsRecordSize; b = b[runsRecordSize:] {
		if id, ok := instanceIDs[binary.BigEndian.Uint32(b)]; ok {
			r.Loads = append(r.Loads, dispatcher.Load{Upstream: id, Runs: int(b[4]), PendingTokens: int(b[5]) * pendingTokensUnit})
		}
	}
	for b := l.Placed; len(b) >= placedRecordSize; b = b[placedRecordSize:] {
		if id, ok := instanceIDs[binary.BigEndian.Uint32(b)]; ok {
			r.Placements = append(r.Placements, dispatcher.Placement{Upstream: id, Prefix: binary.BigEndian.Uint64(b[4:])})
		}
	}
	for b := l.Shares; len(b) >= sharesRecordSize; b = b[sharesRecordSize:] {
		if name, ok := services[binary.BigEndian.Uint32(b)]; ok {
			r.Shares = append(r.Shares, dispatcher.LongPromptShare{Service: name, Share: float64(b[4]) / math.MaxUint8})
		}
	}
	for b := l.Lost; len(b) >= lostRecordSize; b = b[lostRecordSize:] {
		if id, ok := instanceIDs[binary.BigEndian.Uint32(b)]; ok {
			r.Lost = append(r.Lost, id)
		}
	}
	r.Kinds = unpackKinds(l.Kinds, services, routes)
	r.Streams = unpackStreams(l.Streams)
	return r
}

func packStreams(streams []resumer.Stream) []byte {
	var b []byte
	for _, s := range streams {
		b = binary.BigEndian.AppendUint64(b, s.ID)
		b = binary.BigEndian.AppendUint64(b, s.Version)
	}
	return b
}

func unpackStreams(b []byte) []resumer.Stream {
	var out []resumer.Stream
	for ; len(b) >= streamsRecordSize; b = b[streamsRecordSize:] {
		out = append(out, resumer.Stream{ID: binary.BigEndian.Uint64(b), Version: binary.BigEndian.Uint64(b[8:])})
	}
	return out
}

// hashName returns the hash that stands for an instance ID or the name of a service.
func hashName(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}
