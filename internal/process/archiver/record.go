package archiver

import (
	"encoding/binary"
	"encoding/json"
	"strconv"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
)

// streamRecordSize is the size of a stream in content.Streams.
const streamRecordSize = 16

// maxWriteSkew bounds the time within which entries write that a version has come or gone,
// and the difference of their clocks.
const maxWriteSkew = 5 * time.Second

// content is the content of the object of an entry. Streams has 8 bytes each for the digests
// of a stream and of its version.
type content struct {
	UpdatedUnixMilli int64    `json:"updated_unix_ms"`
	Served           []served `json:"served"`
	Streams          []byte   `json:"streams,omitempty"`
}

// served is a software version of a service. The digest is in hexadecimal, since not every
// writer of JSON keeps all digits of a large number.
type served struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

const hexadecimal = 16

func encode(now time.Time, r resumer.Record) ([]byte, error) {
	c := content{UpdatedUnixMilli: now.UnixMilli(), Served: []served{}}
	for _, s := range r.Served {
		c.Served = append(c.Served, served{s.Service, strconv.FormatUint(s.Version, hexadecimal)})
	}
	for _, s := range r.Streams {
		c.Streams = binary.BigEndian.AppendUint64(c.Streams, s.ID)
		c.Streams = binary.BigEndian.AppendUint64(c.Streams, s.Version)
	}
	return json.Marshal(c)
}

// merge returns what the objects of all entries say together: the versions of the newest
// ones, since each entry writes at once when they change, and the streams that may still be
// taken up. Times are compared with that of the newest object only, as the clock of this
// entry may differ. An object that cannot be decoded is left out.
func merge(objects []accessor.Object) resumer.Record {
	var all []content
	newest := int64(0)
	for _, o := range objects {
		var c content
		if json.Unmarshal(o.Value, &c) == nil {
			all = append(all, c)
			newest = max(newest, c.UpdatedUnixMilli)
		}
	}
	var out resumer.Record
	for _, c := range all {
		age := time.Duration(newest-c.UpdatedUnixMilli) * time.Millisecond
		if age <= maxWriteSkew {
			out.Served = append(out.Served, c.versions()...)
		}
		if age <= resumer.Horizon {
			out.Streams = append(out.Streams, c.streams()...)
		}
	}
	return out
}

func (c content) versions() (out []resumer.Served) {
	for _, s := range c.Served {
		if v, err := strconv.ParseUint(s.Version, hexadecimal, 64); err == nil {
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
