package reporter

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/accountant"
	"magnoliafront.dev/magnoliafront/internal/process/leaser"
)

const (
	// checkpointInterval is the least time between two writes of the journal that only
	// save rows. The loss of all entries costs the requests of this time.
	checkpointInterval = time.Second
	// shortCallTimeout is the time limit of a call to the API, so that a holder that
	// cannot reach it hands over soon. longCallTimeout is that of the last call before
	// the holder gives up, and of all calls to an API that has answered late.
	shortCallTimeout = 800 * time.Millisecond
	longCallTimeout  = 2 * time.Second
	// minCallTime is the least remaining time of the lease with which a call is made.
	minCallTime = 300 * time.Millisecond
	// cutOffDelay is the time for which an entry must hear no holder before it leaves its
	// rows in the store. A change of the holder is often shorter.
	cutOffDelay = time.Second
)

// Settings configures a core.
type Settings struct {
	// Holder identifies this start of this entry.
	Holder string
	// Due is the time after the end of a window at which its report is due.
	Due  time.Duration
	Pace leaser.Pace
}

// Core is the state machine of the duty. It does no I/O and reads no clock.
type Core struct {
	Settings Settings
	Accounts *accountant.Accountant

	// term is the state of the current term as the holder, nil if this entry is not the
	// holder.
	term *term
	// endedToken is the token of the last term that this entry has ended itself. It is
	// never used again.
	endedToken int64
	windowTime time.Time
	rows       rowsState
}

// rowsState is the state of leaving the own rows in the store.
type rowsState struct {
	pending     bool
	cutOffSince time.Time
	// watermark and revision are those of the accountant when the rows were last left.
	watermark int64
	revision  uint64
	retryAt   time.Time
}

// term is the state of one term of a holder.
type term struct {
	token int64
	// loaded is true once the journal was read, and recorded once it has the token.
	loaded   bool
	recorded bool
	version  int64
	next     int64
	reports  []accountant.Report
	// repeated holds the windows whose reports an earlier holder may have sent, or this
	// one before.
	repeated map[int64]bool

	journalPending bool
	journalRetry   retry
	// writing is the journal that is being written, and writingRevision the revision of
	// its rows. missing are the windows that it gives up.
	writing         Journal
	writingRevision uint64
	missing         accountant.Frozen
	writtenRevision uint64
	writtenAt       time.Time
	// unsaved is true if a confirmation is not in the journal yet.
	unsaved bool
	// rowsReadFor is the last window for which the rows in the store were read.
	rowsReadFor int64

	reportPending bool
	reportRetry   retry
	// reportedAt is the time of the last call to the API, and slow is true once one was
	// answered after shortCallTimeout.
	reportedAt time.Time
	slow       bool
	lastTried  int64
}

// Step processes one event and returns the resulting actions.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e.Kind {
	case EventTick:
		return c.tick(now, e)
	case EventRowsWritten:
		c.rows.pending = false
		if e.Outcome != OutcomeDone {
			c.rows.watermark, c.rows.revision, c.rows.retryAt = 0, 0, now.Add(checkpointInterval)
		}
		return nil
	}
	if c.term == nil || c.term.token != e.Token {
		// The call was made in an earlier term.
		return nil
	}
	switch e.Kind {
	case EventJournalRead:
		return c.handleRead(now, e)
	case EventJournalWritten:
		return c.handleWritten(now, e)
	case EventRowsRead:
		c.term.journalPending = false
		c.Accounts.MergeRows(e.Rows, c.term.next)
	case EventReported:
		return c.handleReported(now, e)
	}
	return nil
}

// tick follows the lease and makes the calls that are due.
func (c *Core) tick(now time.Time, e Event) []Action {
	c.windowTime = e.WindowTime
	if e.Token == 0 || e.Token == c.endedToken {
		c.endTerm()
		return c.leaveRows(now)
	}
	if c.term == nil || c.term.token != e.Token {
		c.term = &term{token: e.Token, repeated: map[int64]bool{}}
		c.Settings.Pace.Begin(now)
		c.Accounts.SetToken(e.Token)
	}
	out := c.journalCall(now)
	return append(out, c.reportCall(now, e.Remaining)...)
}

func (c *Core) endTerm() {
	c.term = nil
	c.Accounts.SetToken(0)
}

// giveUp ends the term for good.
func (c *Core) giveUp(cause string) []Action {
	token := c.term.token
	c.endedToken = token
	c.endTerm()
	return []Action{{Kind: ActionGiveUp, Token: token, Cause: cause}}
}

// leaveRows returns the action that leaves the rows of this entry in the store, once after
// the end of each window, while it may be out of reach of the holder.
func (c *Core) leaveRows(now time.Time) []Action {
	r := &c.rows
	if !c.Accounts.IsCutOff(now) {
		r.cutOffSince = time.Time{}
		return nil
	}
	if r.cutOffSince.IsZero() {
		r.cutOffSince = now
	}
	if r.pending || now.Sub(r.cutOffSince) < cutOffDelay || now.Before(r.retryAt) {
		return nil
	}
	watermark, revision := c.Accounts.Watermark(), c.Accounts.OwnRevision()
	rows := c.Accounts.OwnRows()
	if r.watermark == watermark || r.revision == revision || len(rows) == 0 {
		return nil
	}
	r.pending, r.watermark, r.revision = true, watermark, revision
	return []Action{{Kind: ActionWriteRows, Rows: rows}}
}

// reportCall returns the action that sends the next report that is not confirmed.
func (c *Core) reportCall(now time.Time, remaining time.Duration) []Action {
	t := c.term
	if t == nil || !t.recorded || t.reportPending || now.Before(t.reportRetry.at) || remaining < minCallTime || !c.Settings.Pace.Ready(now) {
		return nil
	}
	r, ok := t.nextReport()
	if !ok {
		return nil
	}
	result := ResultSent
	if t.repeated[r.Window] {
		result = ResultRepeated
	}
	t.repeated[r.Window], t.lastTried, t.reportPending = true, r.Window, true
	c.Settings.Pace.Called(now)
	t.reportedAt = now
	timeout := shortCallTimeout
	if t.slow || t.reportRetry.failures >= maxFailures-1 {
		timeout = longCallTimeout
	}
	return []Action{
		{Kind: ActionObserve, Token: t.token, Result: result, Window: r.Window, Windows: 1},
		{Kind: ActionReport, Token: t.token, Report: r, Timeout: min(timeout, remaining)},
	}
}

// nextReport returns the first report after the last one that was tried which is not
// confirmed, or else the first of all, so that one that always fails does not stop the
// others.
func (t *term) nextReport() (first accountant.Report, ok bool) {
	for _, r := range t.reports {
		if r.Confirmed {
			continue
		}
		if r.Window > t.lastTried {
			return r, true
		}
		if !ok {
			first, ok = r, true
		}
	}
	return first, ok
}

// handleReported handles the result of a call to the API.
func (c *Core) handleReported(now time.Time, e Event) []Action {
	t := c.term
	t.reportPending = false
	switch e.Outcome {
	case OutcomeDone:
		t.reportRetry = retry{}
		t.unsaved = true
		t.slow = t.slow || now.Sub(t.reportedAt) > shortCallTimeout
		for i := range t.reports {
			t.reports[i].Confirmed = t.reports[i].Confirmed || t.reports[i].Window == e.Window
		}
		result := ResultConfirmed
		if c.windowTime.Sub(c.Accounts.End(e.Window)) > c.Settings.Due {
			result = ResultLate
		}
		return c.observe(result, e.Window, 1)
	case OutcomeTokenRefused:
		return c.giveUp("the API has seen a higher token")
	case OutcomeRateLimited:
		t.reportRetry.delay(now)
		return c.observe(ResultFailed, e.Window, 1)
	}
	out := c.observe(ResultFailed, e.Window, 1)
	if t.reportRetry.fail(now) {
		out = append(out, c.giveUp("the API cannot be reached")...)
	}
	return out
}

// observe returns the action that logs and counts a result.
func (c *Core) observe(r Result, window, windows int64) []Action {
	return []Action{{Kind: ActionObserve, Token: c.term.token, Result: r, Window: window, Windows: windows}}
}

const (
	// A holder gives up after maxFailures failures in a row over minFailureTime or more.
	maxFailures    = 3
	minFailureTime = 2 * time.Second
	// minBackoff doubles with each failure in a row up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// retry is the state of failed calls. The zero value has none.
type retry struct {
	at       time.Time
	failures int
	delays   int
	since    time.Time
}

// fail records a failure and reports whether the holder must give up.
func (r *retry) fail(now time.Time) bool {
	if r.failures == 0 {
		r.since = now
	}
	r.failures++
	r.delay(now)
	return r.failures >= maxFailures && now.Sub(r.since) >= minFailureTime
}

// delay delays the next call.
func (r *retry) delay(now time.Time) {
	r.at = now.Add(min(maxBackoff, minBackoff<<min(r.delays, 8)))
	r.delays++
}
