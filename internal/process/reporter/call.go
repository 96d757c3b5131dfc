package reporter

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/accountant"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

const (
	// journalKey is the key of the journal, and rowsPrefix that of the objects in which
	// entries leave their rows.
	journalKey = "usage/journal"
	rowsPrefix = "usage-rows/"
	// storeTimeout is the maximum time of a call to the store.
	storeTimeout = time.Second
)

// holderName returns the name of a holder in the journal. No two starts of an entry share
// one.
func holderName(i accountant.Incarnation) string {
	return i.Entry + "@" + strconv.FormatInt(i.StartUnixMilli, 10)
}

// makeCalls makes the calls of a ring one after the other and returns their results.
func (r *Reporter) makeCalls(calls *buffer.Ring[Action, buffer.Reject], call func(Action) Event) {
	for {
		a, ok := calls.Take(r.ctx)
		if !ok {
			return
		}
		e := a.failed(OutcomeUnknown)
		_ = r.options.Recoverer.Run("usage call", func() { e = call(a) })
		r.input.Put(r.ctx, input{result: &e})
	}
}

// failed returns the result of the call a with the outcome o.
func (a Action) failed(o Outcome) Event {
	kinds := map[ActionKind]EventKind{
		ActionReadJournal: EventJournalRead, ActionWriteJournal: EventJournalWritten,
		ActionReadRows: EventRowsRead, ActionWriteRows: EventRowsWritten, ActionReport: EventReported,
	}
	return Event{Kind: kinds[a.Kind], Token: a.Token, Window: a.Report.Window, Outcome: o}
}

// withTimeout returns a context that ends after d on the clock.
func (r *Reporter) withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.ctx)
	wake, stop := r.options.Clock.After(d)
	go func() {
		defer stop()
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// holds reports whether the lease is held under the token of a.
func (r *Reporter) holds(a Action) bool {
	token, held := r.options.Lease.Held()
	return held && token == a.Token
}

// callAPI sends a report.
func (r *Reporter) callAPI(a Action) Event {
	if !r.holds(a) {
		return a.failed(OutcomeUnavailable)
	}
	ctx, cancel := r.withTimeout(min(a.Timeout, r.options.Lease.Remaining()))
	defer cancel()
	err := r.options.API.ReportUsage(ctx, r.options.Self.Entry, a.Token, a.Report.Window, a.Report.Counts)
	if err != nil {
		klog.InfoS("usage report not accepted", "window", a.Report.Window, "token", a.Token, "err", err)
		return a.failed(r.options.Outcome(err))
	}
	return a.failed(OutcomeDone)
}

// callStore makes a call to the store.
func (r *Reporter) callStore(a Action) Event {
	ctx, cancel := r.withTimeout(storeTimeout)
	defer cancel()
	switch a.Kind {
	case ActionWriteRows:
		return a.failed(r.writeRows(ctx, a.Rows))
	case ActionReadRows:
		e := a.failed(OutcomeDone)
		e.Rows = r.readRows(ctx)
		return e
	case ActionReadJournal:
		return r.readJournal(ctx, a)
	}
	return r.writeJournal(ctx, a)
}

func (r *Reporter) readJournal(ctx context.Context, a Action) Event {
	o, err := r.options.Store.Get(ctx, journalKey)
	if err != nil {
		klog.InfoS("usage journal not read", "err", err)
		return a.failed(OutcomeUnavailable)
	}
	e := a.failed(OutcomeDone)
	e.Version = o.Version
	if o.Version == 0 {
		return e
	}
	if e.Journal, err = DecodeJournal(o.Value); err != nil {
		klog.ErrorS(err, "usage journal unreadable", "version", o.Version)
		e.Outcome = OutcomeUnreadable
	}
	return e
}

func (r *Reporter) writeJournal(ctx context.Context, a Action) Event {
	data, err := a.Journal.Encode()
	if err != nil {
		klog.ErrorS(err, "usage journal not encoded")
		return a.failed(OutcomeUnavailable)
	}
	if !r.holds(a) {
		return a.failed(OutcomeUnavailable)
	}
	o, err := r.options.Store.Put(ctx, journalKey, data, a.Version)
	e := a.failed(storeOutcome(err))
	e.Version = o.Version
	if err != nil {
		klog.InfoS("usage journal not written", "version", a.Version, "err", err)
	}
	return e
}

// storeOutcome returns the outcome of a write to the store.
func storeOutcome(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeDone
	case accessor.IsKind(err, accessor.ErrorConflict), accessor.IsKind(err, accessor.ErrorMissing):
		return OutcomeConflict
	case accessor.IsKind(err, accessor.ErrorOutcomeUnknown):
		return OutcomeUnknown
	}
	return OutcomeUnavailable
}

// writeRows leaves the rows of this entry in the store.
func (r *Reporter) writeRows(ctx context.Context, rows []accountant.Row) Outcome {
	data, err := encodeRows(rows)
	if err != nil {
		klog.ErrorS(err, "usage rows not encoded")
		return OutcomeUnavailable
	}
	key := rowsPrefix + r.options.Self.Entry
	if r.rowsVersion == 0 {
		o, err := r.options.Store.Get(ctx, key)
		if err != nil {
			return OutcomeUnavailable
		}
		r.rowsVersion = o.Version
	}
	o, err := r.options.Store.Put(ctx, key, data, r.rowsVersion)
	// The version is read again after a failure.
	r.rowsVersion = o.Version
	klog.InfoS("usage rows left in the store", "rows", len(rows), "err", err)
	return storeOutcome(err)
}

// readRows returns the rows that entries have left in the store, as far as they can be
// read.
func (r *Reporter) readRows(ctx context.Context) []accountant.Row {
	objects, err := r.options.Store.List(ctx, rowsPrefix)
	if err != nil {
		klog.InfoS("usage rows not read", "err", err)
		return nil
	}
	var out []accountant.Row
	for _, o := range objects {
		rows, err := decodeRows(o.Value)
		if err != nil {
			klog.InfoS("usage rows ignored", "key", o.Key, "err", err)
			continue
		}
		out = append(out, rows...)
	}
	return out
}
