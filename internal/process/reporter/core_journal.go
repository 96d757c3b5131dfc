package reporter

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/accountant"
)

// journalCall returns the next call to the store that is due for the journal. At most one
// is pending.
func (c *Core) journalCall(now time.Time) []Action {
	t := c.term
	if t.journalPending || now.Before(t.journalRetry.at) {
		return nil
	}
	if !t.loaded {
		t.journalPending = true
		return []Action{{Kind: ActionReadJournal, Token: t.token}}
	}
	if t.next > t.rowsReadFor && c.Accounts.StoredRowsDue(now, c.windowTime, t.next) {
		t.journalPending, t.rowsReadFor = true, t.next
		return []Action{{Kind: ActionReadRows, Token: t.token}}
	}
	frozen := c.Accounts.Freeze(now, c.windowTime, t.next)
	revision := c.Accounts.Revision()
	changed := t.unsaved || revision != t.writtenRevision
	if t.recorded && frozen.Next == t.next && (!changed || now.Sub(t.writtenAt) < checkpointInterval) {
		return nil
	}
	t.journalPending, t.unsaved = true, false
	t.writing, t.writingRevision, t.missing = c.newJournal(frozen), revision, frozen
	return []Action{{Kind: ActionWriteJournal, Token: t.token, Journal: t.writing, Version: t.version}}
}

// newJournal returns the journal with the frozen reports added.
func (c *Core) newJournal(frozen accountant.Frozen) Journal {
	t := c.term
	j := Journal{Token: t.token, Holder: c.Settings.Holder, Next: frozen.Next}
	for _, r := range append(t.reports[:len(t.reports):len(t.reports)], frozen.Reports...) {
		if r.Window >= frozen.Next-accountant.MaxReports {
			j.Reports = append(j.Reports, r)
		}
	}
	j.Rows = c.Accounts.Rows(frozen.Next)
	return j
}

// handleRead applies the journal that was read.
func (c *Core) handleRead(now time.Time, e Event) []Action {
	t := c.term
	t.journalPending = false
	if e.Outcome != OutcomeDone && e.Outcome != OutcomeUnreadable {
		return c.storeFailed(now)
	}
	t.journalRetry = retry{}
	lost := e.Outcome == OutcomeUnreadable || e.Version == 0
	switch {
	case lost && t.recorded:
		// The object was damaged or deleted in this term. It is written again.
		t.loaded, t.version, t.unsaved = true, e.Version, true
		return nil
	case e.Outcome == OutcomeUnreadable:
		// What has been reported is not known. Only windows that have not ended are
		// reported from now on.
		t.loaded, t.version = true, e.Version
		t.next = c.Accounts.Watermark() + 1
		c.Accounts.Settle(t.next - 1)
		return c.observe(ResultUnreadable, t.next, 0)
	}
	j := e.Journal
	if e.Version != 0 && j.Holder != c.Settings.Holder && j.Token >= t.token {
		if t.recorded {
			return c.giveUp("another holder has written the journal")
		}
		token := t.token
		c.endTerm()
		return []Action{{Kind: ActionRaiseToken, Token: token, Number: j.Token}}
	}
	t.loaded, t.version, t.next = true, e.Version, j.Next
	t.keepConfirmed(j.Reports)
	for _, r := range j.Reports {
		t.repeated[r.Window] = true
	}
	if settled := c.Accounts.Settled(); settled > 0 {
		// Others know of reports that are not in this journal.
		t.next = max(t.next, settled+1)
	}
	c.Accounts.MergeRows(j.Rows, t.next)
	c.Accounts.Settle(t.next - 1)
	return nil
}

// handleWritten handles the result of writing the journal. Reports may be sent once they
// are in it.
func (c *Core) handleWritten(now time.Time, e Event) []Action {
	t := c.term
	t.journalPending = false
	switch e.Outcome {
	case OutcomeDone:
	case OutcomeConflict:
		t.loaded, t.unsaved = false, true
		return nil
	case OutcomeUnknown:
		// The write may have been executed, or may be later. It is read back, and what it
		// froze is frozen anew if it is not there.
		t.loaded, t.unsaved = false, true
		return c.storeFailed(now)
	default:
		t.unsaved = true
		return c.storeFailed(now)
	}
	out := c.observeWritten()
	t.journalRetry = retry{}
	t.recorded, t.version, t.next = true, e.Version, t.writing.Next
	t.keepConfirmed(t.writing.Reports)
	t.writtenAt, t.writtenRevision = now, t.writingRevision
	c.Accounts.Settle(t.next - 1)
	return out
}

// observeWritten returns the observations of the windows that the journal now has frozen,
// or no longer has.
func (c *Core) observeWritten() []Action {
	t := c.term
	var out []Action
	for _, r := range t.missing.Reports {
		out = append(out, c.observe(ResultFrozen, r.Window, 1)...)
	}
	if n := t.missing.MissingTo - t.missing.MissingFrom; n > 0 {
		out = append(out, c.observe(ResultMissing, t.missing.MissingFrom, n)...)
	}
	for _, r := range t.reports {
		if !r.Confirmed && r.Window < t.writing.Next-accountant.MaxReports {
			out = append(out, c.observe(ResultGivenUp, r.Window, 1)...)
		}
	}
	return out
}

// storeFailed handles a failed call to the store.
func (c *Core) storeFailed(now time.Time) []Action {
	if c.term.journalRetry.fail(now) {
		return c.giveUp("the journal cannot be read and written")
	}
	return nil
}

// keepConfirmed replaces the reports and keeps which of them are known to be confirmed.
func (t *term) keepConfirmed(reports []accountant.Report) {
	confirmed := map[int64]bool{}
	for _, r := range t.reports {
		confirmed[r.Window] = r.Confirmed
	}
	t.reports = nil
	for _, r := range reports {
		r.Confirmed = r.Confirmed || confirmed[r.Window]
		t.reports = append(t.reports, r)
	}
}
