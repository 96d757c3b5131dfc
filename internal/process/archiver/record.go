package archiver

import (
	"encoding/binary"
	"encoding/json"
	"strings"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
)

// streamRecordSize is the size of a stream in content.Streams.
const streamRecordSize = 16

// content is the content of the object of an entry. Streams has 8 bytes each for the digests
// of a stream and of its version.
type content struct {
	UpdatedUnixMilli int64    `json:"updated_unix_ms"`
	Served           []served `json:"served"`
	Streams          []byte   `json:"streams,omitempty"`
}

// served is a software version of a service, by its digest as text.
type served struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

func encode(now time.Time, r resumer.Record) ([]byte, error) {
	c := content{UpdatedUnixMilli: now.UnixMilli(), Served: []served{}}
	for _, s := range r.Served {
		c.Served = append(c.Served, served{s.Service, resumer.FormatDigest(s.Version)})
	}
	for _, s := range r.Streams {
		c.Streams = binary.BigEndian.AppendUint64(c.Streams, s.ID)
		c.Streams = binary.BigEndian.AppendUint64(c.Streams, s.Version)
	}
	return json.Marshal(c)
}

// decode returns the records that the objects of all entries hold. An object that cannot be
// decoded is left out.
func decode(objects []accessor.Object, prefix, identity string) []resumer.EntryRecord {
	var out []resumer.EntryRecord
	for _, o := range objects {
		var c content
		if json.Unmarshal(o.Value, &c) != nil {
			continue
		}
		entry := strings.TrimPrefix(o.Key, prefix)
		out = append(out, resumer.EntryRecord{
			Record: resumer.Record{Served: c.versions(), Streams: c.streams()},
			Entry:  entry, Own: entry == identity, Revision: o.Version, WrittenAt: time.UnixMilli(c.UpdatedUnixMilli),
		})
	}
	return out
}

func (c content) versions() (out []resumer.Served) {
	for _, s := range c.Served {
		if v, err := resumer.ParseDigest(s.Version); err == nil {
			out = append(out, resumer.Served{Service: s.Service, Version: v})
		}
	}
	return out
}

func (c content) streams() (out []resumer.Stream) {
	for b := c.Streams; len(b) >= streamRecordSize; b = b[streamRecordSize:] {
		out = append(out, resumer.Stream{ID: binary.BigEndian.Uint64(b), Version: binary.BigEndian.Uint64(b[8:])})
	}
	return out
}
