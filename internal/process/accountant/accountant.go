// Package accountant counts the requests of each organisation by windows of time, over
// all entries, and decides when the counts of a window are final.
//
// Each entry counts the requests that upstreams begin to run for it, in one row for each
// window. Entries tell each other their rows, so that each of them knows the rows of all
// and can report the usage as the holder of the duty. A row belongs to an [Incarnation],
// which is one start of one entry, and its counts only grow. Rows are therefore merged by
// maximum, and an [Update] that is lost, repeated or overtaken does no harm.
//
// A window has ended once the median of the living entries says so, which a single clock
// that is ahead cannot change. Its counts are frozen as soon as each living entry has sent
// all rows of the window after its end, and at the latest at a share of the time at which
// the report is due. Frozen counts never change. Counts that come later belong to the next
// window that is open, so that no request is lost.
//
// The package is a decision: it reads no clock and does no I/O. Two times are passed in:
// now is the time of the process, for the silence of others, and the clock of windows
// tells the current window.
//
// # Usage
//
//	a := accountant.New(accountant.Settings{Self: self, Window: 5 * time.Second, Due: 10 * time.Second})
//	a.Count(windowTime, "hule930")
//	a.Merge(now, update)
//	if u, ok := a.Publish(now, windowTime); ok {
//		// send u to the other entries
//	}
//	reports := a.Freeze(now, windowTime, next)
package accountant

import (
	"maps"
	"time"
)

const (
	// windowsKept is the number of windows before the current one whose rows are kept
	// while they are not frozen. windowsAhead allows for clocks of others that are ahead.
	windowsKept  = 8
	windowsAhead = 8
	// maxRowsPerWindow bounds the incarnations of which rows are kept in a window. It
	// allows for each of 410 entries to be replaced several times.
	maxRowsPerWindow = 2048
	// completeInterval is the number of calls of Publish after which all rows are
	// published again: about a second.
	completeInterval = 5
)

// Counts holds numbers of requests by organisation.
type Counts map[string]int

// Incarnation is one start of an entry.
type Incarnation struct {
	Entry          string
	StartUnixMilli int64
}

// Row holds the counts of an incarnation in one window.
type Row struct {
	Incarnation Incarnation
	Window      int64
	Counts      Counts
}

// Update is what an entry tells the others.
type Update struct {
	Sender Incarnation
	// Watermark is the last window that has ended for the sender. Its rows up to there
	// are final.
	Watermark int64
	// Complete is true if Rows are all rows of the sender in windows that are not
	// settled, false if they are those that have changed since its previous update.
	Complete bool
	// Settled is the last window up to which all reports are in the journal, as far as
	// the sender knows.
	Settled int64
	// Token is the fencing token if the sender is the holder, else zero. HeardToken is the
	// highest one that it has heard from a holder itself within the last seconds.
	Token      int64
	HeardToken int64
	// Eligible is true if the sender can do duties.
	Eligible bool
	// Final is true if the sender ends and counts no more. All windows have ended for it.
	Final bool
	// Rows holds rows of the sender itself.
	Rows []Row
}

// Report holds the frozen counts of one window.
type Report struct {
	Window int64
	Counts Counts
	// Confirmed is true once the API has accepted the report.
	Confirmed bool
}

// Settings configures an accountant.
type Settings struct {
	Self Incarnation
	// Window is the length of a window. The report is due Due after its end.
	Window time.Duration
	Due    time.Duration
}

// Accountant holds the rows of all entries. Create it with [New].
type Accountant struct {
	settings Settings
	// rows holds the rows of the windows that are not settled, own rows included.
	rows map[int64]map[Incarnation]Counts
	// changed holds for each window the organisations whose own counts have changed since
	// the last update.
	changed map[int64]map[string]struct{}
	peers   map[string]*peer
	// watermark is the last window that has ended for this entry, and settled the last
	// one whose report is in the journal.
	watermark int64
	settled   int64
	// keepFrom is the first window that is kept although it is old, zero if there is none.
	keepFrom int64
	// revision counts the changes of rows, and ownRevision those of own rows.
	revision    uint64
	ownRevision uint64
	// published counts the calls of Publish since the last complete update.
	published          int
	publishedWatermark int64
	publishedSettled   int64
	publishedToken     int64
	lastPublish        time.Time
	publishedEligible  bool
	token              int64
	eligible           bool
}

// New returns an accountant without rows.
func New(s Settings) *Accountant {
	return &Accountant{
		settings: s, rows: map[int64]map[Incarnation]Counts{},
		changed: map[int64]map[string]struct{}{}, peers: map[string]*peer{},
		published: completeInterval,
	}
}

// Window returns the window at the time t of the clock of windows.
func (a *Accountant) Window(t time.Time) int64 {
	w, length := t.UnixNano()/int64(a.settings.Window), int64(a.settings.Window)
	if t.UnixNano()%length < 0 {
		w--
	}
	return w
}

// End returns the end of window w on the clock of windows.
func (a *Accountant) End(w int64) time.Time { return time.Unix(0, (w+1)*int64(a.settings.Window)) }

// Settled returns the last window up to which all reports are in the journal.
func (a *Accountant) Settled() int64 { return a.settled }

// Revision changes with each change of a row.
func (a *Accountant) Revision() uint64 { return a.revision }

// OwnRevision changes with each change of an own row.
func (a *Accountant) OwnRevision() uint64 { return a.ownRevision }

// Watermark returns the last window that has ended for this entry.
func (a *Accountant) Watermark() int64 { return a.watermark }

// SetToken sets the fencing token of this entry, zero if it is not the holder. Only a
// holder keeps old rows.
func (a *Accountant) SetToken(token int64) {
	a.token = token
	if token == 0 {
		a.keepFrom = 0
	}
}

// SetEligible sets whether this entry can do duties.
func (a *Accountant) SetEligible(eligible bool) { a.eligible = eligible }

// Count counts a request of an organisation that began at t. A window that this entry has
// said to be over, or that is settled, does not change any more.
func (a *Accountant) Count(t time.Time, organisation string) {
	w := max(a.Window(t), a.watermark+1, a.settled+1)
	row := a.row(w, a.settings.Self)
	row[organisation]++
	if a.changed[w] == nil {
		a.changed[w] = map[string]struct{}{}
	}
	a.changed[w][organisation] = struct{}{}
	a.revision++
	a.ownRevision++
}

// Merge adds what another entry told.
func (a *Accountant) Merge(now time.Time, u Update) {
	if u.Sender.Entry == a.settings.Self.Entry {
		return
	}
	a.hear(now, u)
	// A settled window that has not ended here cannot be true.
	if u.Settled <= a.watermark {
		a.Settle(u.Settled)
	}
	for _, r := range u.Rows {
		if r.Window >= a.watermark-windowsKept && r.Window <= a.watermark+windowsAhead {
			a.mergeRow(Row{u.Sender, r.Window, r.Counts})
		}
	}
}

// MergeRows adds rows of any incarnation from the journal or from the store. However old
// they are, they are kept from the window keepFrom on.
func (a *Accountant) MergeRows(rows []Row, keepFrom int64) {
	a.keepFrom = keepFrom
	for _, r := range rows {
		if r.Window >= keepFrom {
			a.mergeRow(r)
		}
	}
}

// mergeRow merges a row by maximum.
func (a *Accountant) mergeRow(r Row) {
	known, ok := a.rows[r.Window][r.Incarnation]
	if r.Window <= a.settled || !ok && (len(r.Counts) == 0 || len(a.rows[r.Window]) >= maxRowsPerWindow) {
		return
	}
	for organisation, n := range r.Counts {
		if n > known[organisation] {
			a.row(r.Window, r.Incarnation)[organisation] = n
			a.revision++
		}
	}
}

// row returns the counts of an incarnation in a window, which are created if needed.
func (a *Accountant) row(w int64, i Incarnation) Counts {
	if a.rows[w] == nil {
		a.rows[w] = map[Incarnation]Counts{}
	}
	if a.rows[w][i] == nil {
		a.rows[w][i] = Counts{}
	}
	return a.rows[w][i]
}

// Publish returns the update for the other entries at the time t of the clock of windows.
// It returns false if nothing has to be told. It is called several times a second.
func (a *Accountant) Publish(now, t time.Time) (Update, bool) {
	a.noticePause(now)
	a.watermark = max(a.watermark, a.Window(t)-1)
	a.prune()
	u := Update{Sender: a.settings.Self, Watermark: a.watermark, Settled: a.settled, Token: a.token, HeardToken: a.heardToken(now), Eligible: a.eligible}
	a.published++
	news := u.Watermark != a.publishedWatermark || u.Settled != a.publishedSettled || u.Token != a.publishedToken || u.Eligible != a.publishedEligible
	u.Complete = news || a.published >= completeInterval
	if !u.Complete && len(a.changed) == 0 {
		return Update{}, false
	}
	if u.Complete {
		a.published = 0
		a.publishedWatermark, a.publishedSettled, a.publishedToken, a.publishedEligible = u.Watermark, u.Settled, u.Token, u.Eligible
		u.Rows = a.OwnRows()
	} else {
		u.Rows = a.changedRows()
	}
	clear(a.changed)
	return u, true
}

// PublishFinal returns the last update of an entry that ends, so that the others need not
// wait until it has been silent for a while.
func (a *Accountant) PublishFinal() Update {
	return Update{
		Sender: a.settings.Self, Watermark: a.watermark, Settled: a.settled,
		Complete: true, Final: true, Rows: a.OwnRows(),
	}
}

// OwnRows returns copies of the rows of this entry.
func (a *Accountant) OwnRows() []Row {
	var out []Row
	for w, rows := range a.rows {
		if c, ok := rows[a.settings.Self]; ok {
			out = append(out, Row{a.settings.Self, w, maps.Clone(c)})
		}
	}
	return out
}

// changedRows returns the own counts that have changed since the last update.
func (a *Accountant) changedRows() []Row {
	var out []Row
	for w, organisations := range a.changed {
		r := Row{a.settings.Self, w, Counts{}}
		for o := range organisations {
			r.Counts[o] = a.rows[w][a.settings.Self][o]
		}
		out = append(out, r)
	}
	return out
}

// Rows returns copies of all rows from window from on, for the checkpoint.
func (a *Accountant) Rows(from int64) []Row {
	var out []Row
	for w, rows := range a.rows {
		for i, c := range rows {
			if w >= from {
				out = append(out, Row{i, w, maps.Clone(c)})
			}
		}
	}
	return out
}

// Settle removes the rows up to window w, whose reports are in the journal.
func (a *Accountant) Settle(w int64) {
	if w <= a.settled {
		return
	}
	a.settled = w
	a.deleteUpTo(w)
}

// prune removes the rows of windows that are too old.
func (a *Accountant) prune() {
	limit := a.watermark - windowsKept
	if a.keepFrom > 0 {
		limit = min(limit, a.keepFrom-1)
	}
	a.deleteUpTo(limit)
}

func (a *Accountant) deleteUpTo(limit int64) {
	for w := range a.rows {
		if w <= limit {
			delete(a.rows, w)
			delete(a.changed, w)
		}
	}
}
