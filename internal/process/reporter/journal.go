package reporter

import (
	"encoding/binary"
	"encoding/json"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/accountant"
)

// maxJournalBytes is the size of a journal from which on its checkpoint is left out. The
// store takes objects of up to 1 MB.
const maxJournalBytes = 900_000

// Journal is the state of the duty in the store.
type Journal struct {
	// Token and Holder are those of the holder that wrote the journal.
	Token  int64
	Holder string
	// Next is the first window that is not frozen, zero if none ever was.
	Next int64
	// Reports holds the frozen reports of the last windows, in ascending order.
	Reports []accountant.Report
	// Rows is the checkpoint: the rows from window Next on.
	Rows []accountant.Row
}

// journalObject is the JSON form of a Journal.
type journalObject struct {
	Token      int64          `json:"token"`
	Holder     string         `json:"holder"`
	Next       int64          `json:"next"`
	Reports    []reportObject `json:"reports"`
	Checkpoint []byte         `json:"checkpoint,omitempty"`
}

type reportObject struct {
	Window    int64          `json:"window"`
	Counts    map[string]int `json:"counts"`
	Confirmed bool           `json:"confirmed,omitempty"`
}

// storedRows is the JSON form of the rows of one entry in the store.
type storedRows struct {
	Rows []byte `json:"rows"`
}

// Encode encodes the journal as JSON. The checkpoint is left out if it does not fit.
func (j Journal) Encode() ([]byte, error) {
	o := journalObject{Token: j.Token, Holder: j.Holder, Next: j.Next, Checkpoint: packRows(j.Rows)}
	for _, r := range j.Reports {
		o.Reports = append(o.Reports, reportObject{r.Window, r.Counts, r.Confirmed})
	}
	// The packed rows grow by a third in JSON.
	if len(o.Checkpoint) > maxJournalBytes*3/4 {
		o.Checkpoint = nil
	}
	data, err := json.Marshal(o)
	if err == nil && len(data) > maxJournalBytes && o.Checkpoint != nil {
		o.Checkpoint = nil
		data, err = json.Marshal(o)
	}
	if err != nil {
		return nil, &Error{Op: "encode the journal", Kind: ErrorFormat, Err: err}
	}
	return data, nil
}

// DecodeJournal decodes a journal.
func DecodeJournal(data []byte) (Journal, error) {
	var o journalObject
	if err := json.Unmarshal(data, &o); err != nil {
		return Journal{}, &Error{Op: "decode the journal", Kind: ErrorFormat, Err: err}
	}
	rows, err := unpackRows(o.Checkpoint)
	if err == nil && (o.Token <= 0 || o.Holder == "" || o.Next < 0) {
		err = errors.Errorf("token %d, holder %q, next window %d", o.Token, o.Holder, o.Next)
	}
	if err != nil {
		return Journal{}, &Error{Op: "decode the journal", Kind: ErrorFormat, Err: err}
	}
	j := Journal{Token: o.Token, Holder: o.Holder, Next: o.Next, Rows: rows}
	for _, r := range o.Reports {
		if r.Counts == nil {
			r.Counts = map[string]int{}
		}
		j.Reports = append(j.Reports, accountant.Report{Window: r.Window, Counts: r.Counts, Confirmed: r.Confirmed})
	}
	return j, nil
}

// encodeRows encodes the rows of one entry as JSON.
func encodeRows(rows []accountant.Row) ([]byte, error) {
	data, err := json.Marshal(storedRows{packRows(rows)})
	if err != nil {
		return nil, &Error{Op: "encode rows", Kind: ErrorFormat, Err: err}
	}
	return data, nil
}

// decodeRows decodes the rows of one entry.
func decodeRows(data []byte) ([]accountant.Row, error) {
	var s storedRows
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, &Error{Op: "decode rows", Kind: ErrorFormat, Err: err}
	}
	return unpackRows(s.Rows)
}

// packRows encodes rows in binary. Each row is its incarnation, its window, the number of
// its counts and the counts. Entries and organisations are numbered in the order of their
// first use, and a number is followed by the name at its first use. All numbers are
// uvarints.
func packRows(rows []accountant.Row) []byte {
	if len(rows) == 0 {
		return nil
	}
	names := map[string]uint64{}
	var out []byte
	appendName := func(name string) {
		n, known := names[name]
		if !known {
			n = uint64(len(names))
			names[name] = n
		}
		out = binary.AppendUvarint(out, n)
		if !known {
			out = binary.AppendUvarint(out, uint64(len(name)))
			out = append(out, name...)
		}
	}
	for _, r := range rows {
		appendName(r.Incarnation.Entry)
		out = binary.AppendUvarint(out, uint64(r.Incarnation.StartUnixMilli))
		out = binary.AppendUvarint(out, uint64(r.Window))
		out = binary.AppendUvarint(out, uint64(len(r.Counts)))
		for organisation, n := range r.Counts {
			appendName(organisation)
			out = binary.AppendUvarint(out, uint64(n))
		}
	}
	return out
}

// maxCount is the largest count of a row. It is far above what upstreams can run.
const maxCount = 1 << 40

// unpackRows decodes the result of packRows.
func unpackRows(data []byte) ([]accountant.Row, error) {
	u := unpacker{rest: data}
	var out []accountant.Row
	for len(u.rest) > 0 && !u.failed {
		r := accountant.Row{Counts: accountant.Counts{}}
		r.Incarnation.Entry = u.name()
		r.Incarnation.StartUnixMilli = int64(u.number())
		r.Window = int64(u.number())
		for range u.length() {
			organisation := u.name()
			n := u.number()
			u.failed = u.failed || n > maxCount
			r.Counts[organisation] = int(n)
		}
		out = append(out, r)
	}
	if u.failed {
		return nil, &Error{Op: "decode rows", Kind: ErrorFormat, Err: errors.New("the packed rows are damaged")}
	}
	return out, nil
}

// unpacker reads packed rows. After a failure it returns zero values.
type unpacker struct {
	rest   []byte
	names  []string
	failed bool
}

func (u *unpacker) number() uint64 {
	n, size := binary.Uvarint(u.rest)
	if size <= 0 {
		u.failed, u.rest = true, nil
		return 0
	}
	u.rest = u.rest[size:]
	return n
}

// length reads the number of the counts that follow, each of two bytes or more. It fails
// if there are fewer.
func (u *unpacker) length() uint64 {
	n := u.number()
	if n > uint64(len(u.rest)/2) {
		u.failed, u.rest = true, nil
		return 0
	}
	return n
}

func (u *unpacker) name() string {
	n := u.number()
	switch {
	case u.failed:
		return ""
	case n < uint64(len(u.names)):
		return u.names[n]
	}
	size := u.number()
	if n > uint64(len(u.names)) || size > uint64(len(u.rest)) {
		u.failed, u.rest = true, nil
		return ""
	}
	u.names = append(u.names, string(u.rest[:size]))
	u.rest = u.rest[size:]
	return u.names[n]
}
