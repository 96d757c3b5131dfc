package syncer

import (
	"encoding/binary"
	"maps"
	"slices"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
)

// FetchVersions asks another entry for the software versions of streams. Streams has 8 bytes
// for the digest of each.
type FetchVersions struct {
	Streams []byte `json:"streams"`
}

// Versions is what an entry knows of the streams that it was asked for. Known has a record
// for each whose version it knows, like [Load.Streams], and Unknown 8 bytes for the digest of
// each other one.
type Versions struct {
	Known   []byte   `json:"known"`
	Unknown []byte   `json:"unknown"`
	Served  []Served `json:"served"`
}

// Served is a software version of a service, by its digest as text.
type Served struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

const digestSize = 8

// shareCount is the number of entries that are told of a stream at once. A third of the
// entries may end at the same moment.
const shareCount = 3

// FetchVersions asks all other entries for the software versions of streams.
func (s *Syncer) FetchVersions(streams []uint64) {
	for identity := range s.Members() {
		s.options.Send(identity, messenger.MethodFetchVersions, FetchVersions{Streams: packDigests(streams)})
	}
}

// ShareVersions tells the next shareCount other entries, in round-robin order, of streams that
// this one has begun. It must be called by one goroutine only.
func (s *Syncer) ShareVersions(streams []resumer.Stream) {
	members := s.Members()
	identities := slices.Sorted(maps.Keys(members))
	for range min(shareCount, len(identities)) {
		s.shares++
		s.options.Send(identities[s.shares%len(identities)], messenger.MethodVersions, Versions{Known: packStreams(streams)})
	}
}

// sendVersions replies to q once the forwarder knows what to say.
func (s *Syncer) sendVersions(c *messenger.Conn, q FetchVersions) {
	s.options.Forwarder.FetchVersions(unpackDigests(q.Streams), func(r resumer.Reply) {
		c.Notify(messenger.MethodVersions, packVersions(r))
	})
}

func packVersions(r resumer.Reply) Versions {
	out := Versions{Known: packStreams(r.Known), Unknown: packDigests(r.Unknown), Served: []Served{}}
	for _, s := range r.Served {
		out.Served = append(out.Served, Served{s.Service, resumer.FormatDigest(s.Version)})
	}
	return out
}

func (v Versions) unpack() resumer.Reply {
	out := resumer.Reply{Known: unpackStreams(v.Known), Unknown: unpackDigests(v.Unknown)}
	for _, s := range v.Served {
		if version, err := resumer.ParseDigest(s.Version); err == nil {
			out.Served = append(out.Served, resumer.Served{Service: s.Service, Version: version})
		}
	}
	return out
}

func packDigests(digests []uint64) []byte {
	var b []byte
	for _, d := range digests {
		b = binary.BigEndian.AppendUint64(b, d)
	}
	return b
}

func unpackDigests(b []byte) []uint64 {
	var out []uint64
	for ; len(b) >= digestSize; b = b[digestSize:] {
		out = append(out, binary.BigEndian.Uint64(b))
	}
	return out
}
