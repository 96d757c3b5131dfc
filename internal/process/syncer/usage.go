package syncer

import (
	"encoding/binary"

	"magnoliafront.dev/magnoliafront/internal/process/accountant"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

const (
	// maxUsageRows bounds the rows of an update: those of the windows that an entry keeps,
	// and of those ahead.
	maxUsageRows = 32
	// maxUsageCount bounds a count of an update. No entry begins as many requests in a
	// window.
	maxUsageCount = 1 << 32
	// organisationHashSize is the size of the hash of a name, and minUsageRecordSize the
	// least size of a count with its hash.
	organisationHashSize = 4
	minUsageRecordSize   = organisationHashSize + 1
	// The flags of an update.
	flagComplete = 1
	flagEligible = 2
	flagFinal    = 4
)

// SendUsage sends a usage update to all other entries, with the next load report if there
// is one before the next update, and by itself otherwise.
func (s *Syncer) SendUsage(u accountant.Update) {
	packed := packUsage(u)
	if waiting := s.pendingUsage.Swap(&packed); waiting != nil {
		s.sendLoad(Load{Usage: *waiting})
	}
}

// FlushUsage sends a usage update that still waits for a load report.
func (s *Syncer) FlushUsage() {
	if waiting := s.pendingUsage.Swap(nil); waiting != nil {
		s.sendLoad(Load{Usage: *waiting})
	}
}

// receiveUsage passes on the usage update of another entry.
func (s *Syncer) receiveUsage(sender string, packed []byte) {
	if s.options.ReceiveUsage == nil || len(packed) == 0 {
		return
	}
	names := s.organisations.Load().update(s.options.Forwarder.State().Table)
	s.organisations.Store(names)
	if u, ok := unpackUsage(packed, names.byHash); ok {
		u.Sender.Entry = sender
		for i := range u.Rows {
			u.Rows[i].Incarnation = u.Sender
		}
		s.options.ReceiveUsage(u)
	}
}

// organisationNames holds the names of organisations by their hashes. It is immutable.
type organisationNames struct {
	table  *matcher.Table
	byHash map[uint32]string
}

// update returns the names with those of the configuration t added. A name that is not in
// it any more is kept, since its requests may still be reported.
func (o *organisationNames) update(t *matcher.Table) *organisationNames {
	if o == nil {
		o = &organisationNames{}
	}
	if t == nil || o.table == t {
		return o
	}
	out := &organisationNames{table: t, byHash: make(map[uint32]string, len(t.Configuration.Organisations))}
	for hash, name := range o.byHash {
		out.byHash[hash] = name
	}
	for _, c := range t.Configuration.Organisations {
		out.byHash[hashName(c.Name)] = c.Name
	}
	return out
}

// packUsage encodes an update in binary. It has, as uvarints, the start of the sender, the
// watermark, the settled window, the token of the sender, the one that it has heard, and the
// sum of the flags that apply; then for each row the window, the number of counts, and for
// each count 4 bytes with the hash of the organisation and the count as an uvarint.
func packUsage(u accountant.Update) []byte {
	flags := uint64(0)
	if u.Complete {
		flags |= flagComplete
	}
	if u.Eligible {
		flags |= flagEligible
	}
	if u.Final {
		flags |= flagFinal
	}
	var out []byte
	for _, n := range [...]uint64{
		uint64(u.Sender.StartUnixMilli), uint64(u.Watermark), uint64(u.Settled), uint64(u.Token), uint64(u.HeardToken), flags,
	} {
		out = binary.AppendUvarint(out, n)
	}
	for _, r := range u.Rows {
		out = binary.AppendUvarint(out, uint64(r.Window))
		out = binary.AppendUvarint(out, uint64(len(r.Counts)))
		for organisation, n := range r.Counts {
			out = binary.BigEndian.AppendUint32(out, hashName(organisation))
			out = binary.AppendUvarint(out, uint64(n))
		}
	}
	return out
}

// unpackUsage decodes an update. Counts of unknown organisations are skipped. It returns
// false if the update is damaged.
func unpackUsage(data []byte, names map[uint32]string) (accountant.Update, bool) {
	var u accountant.Update
	in, known := usageReader{rest: data}, true
	u.Sender.StartUnixMilli = int64(in.number())
	u.Watermark, u.Settled = int64(in.number()), int64(in.number())
	u.Token, u.HeardToken = int64(in.number()), int64(in.number())
	flags := in.number()
	u.Complete, u.Eligible = flags&flagComplete != 0, flags&flagEligible != 0
	u.Final = flags&flagFinal != 0
	for len(in.rest) > 0 && len(u.Rows) < maxUsageRows {
		r := accountant.Row{Window: int64(in.number()), Counts: accountant.Counts{}}
		for range in.length() {
			hash, n := in.hash(), in.number()
			in.failed = in.failed || n > maxUsageCount
			name, ok := names[hash]
			if ok {
				r.Counts[name] = int(n)
			}
			known = known && ok
		}
		u.Rows = append(u.Rows, r)
	}
	// Until the configuration with a new organisation has come, rows are missing.
	u.Complete = u.Complete && known
	return u, !in.failed && u.Watermark >= 0 && u.Settled >= 0
}

// usageReader reads a packed update. After a failure it returns zero.
type usageReader struct {
	rest   []byte
	failed bool
}

func (r *usageReader) number() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// length reads the number of the counts that follow. It fails if there are fewer.
func (r *usageReader) length() uint64 {
	n := r.number()
	if n > uint64(len(r.rest)/minUsageRecordSize) {
		r.failed, r.rest = true, nil
		return 0
	}
	return n
}

func (r *usageReader) hash() uint32 {
	if len(r.rest) < organisationHashSize {
		r.failed, r.rest = true, nil
		return 0
	}
	h := binary.BigEndian.Uint32(r.rest)
	r.rest = r.rest[organisationHashSize:]
	return h
}
