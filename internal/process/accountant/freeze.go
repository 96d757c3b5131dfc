package accountant

import "time"

const (
	// MaxReports is the number of windows whose reports the journal keeps. A gap of more
	// windows without a holder is not reported.
	MaxReports = 16
	// freezeShare is the share of Settings.Due after the end of a window at which it is
	// frozen in any case. The rest is for a change of the holder and the calls.
	freezeShare = 0.6
	// rowsDelay is the time after the end of a window in which an entry that runs out of
	// reach leaves its rows in the store.
	rowsDelay = time.Second
)

// Frozen is the result of [Accountant.Freeze].
type Frozen struct {
	// Reports holds the reports of consecutive windows from the one that was asked for.
	Reports []Report
	// MissingFrom and MissingTo are windows, the second one excluded, that are too old to
	// be reported. They are equal if there are none.
	MissingFrom int64
	MissingTo   int64
	// Next is the first window that is not frozen, zero if none has a row.
	Next int64
}

// Freeze returns the reports of the windows from next on whose counts are final. If next is
// zero, no window has been frozen before, and the first one with a row is the first.
func (a *Accountant) Freeze(now, t time.Time, next int64) Frozen {
	if next == 0 {
		next = a.firstWindow()
	}
	out := Frozen{MissingFrom: next, MissingTo: next, Next: next}
	if next == 0 {
		return out
	}
	median := a.medianWatermark(now)
	if oldest := median - MaxReports + 1; next < oldest {
		out.MissingTo, out.Next = oldest, oldest
	}
	for out.Next <= median && a.isFinal(now, t, out.Next, median) {
		out.Reports = append(out.Reports, Report{Window: out.Next, Counts: a.sum(out.Next)})
		out.Next++
	}
	return out
}

// firstWindow returns the first window with a row that is not settled, zero if there is
// none.
func (a *Accountant) firstWindow() int64 {
	first := int64(0)
	for w := range a.rows {
		if w > a.settled && (first == 0 || w < first) {
			first = w
		}
	}
	return first
}

// isFinal reports whether the counts of the ended window w are final.
func (a *Accountant) isFinal(now, t time.Time, w, median int64) bool {
	sinceEnd := t.Sub(a.End(w))
	// The own clock counts only if the others agree with it.
	agrees := a.watermark-median <= 1 && median-a.watermark <= 1
	if agrees && sinceEnd >= time.Duration(freezeShare*float64(a.settings.Due)) {
		return true
	}
	if s := a.silence(now); agrees && (s == silenceNew || s == silenceOld && sinceEnd < rowsDelay) {
		return false
	}
	return (a.watermark >= w || !agrees) && a.allComplete(now, w)
}

// StoredRowsDue reports whether the rows that silent entries may have left in the store are
// to be read now for window w, which is to be frozen next.
func (a *Accountant) StoredRowsDue(now, t time.Time, w int64) bool {
	return w > 0 && w <= a.medianWatermark(now) && a.silence(now) == silenceOld && t.Sub(a.End(w)) >= rowsDelay
}

// sum returns the counts of all incarnations in window w.
func (a *Accountant) sum(w int64) Counts {
	out := Counts{}
	for _, row := range a.rows[w] {
		for organisation, n := range row {
			out[organisation] += n
		}
	}
	return out
}
