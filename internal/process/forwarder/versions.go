package forwarder

import (
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
)

// Versions has the functions with which a forwarder finds out the software versions of
// streams. They must not block. Those that are nil do nothing.
type Versions struct {
	// Keep keeps the record of this entry in the platform; see [Forwarder.VersionsKept].
	Keep func(resumer.Record)
	// Recall reads the records of all entries; see [Forwarder.RecallVersions].
	Recall func(ticket uint64)
	// Share tells a few other entries of streams that this one has begun.
	Share func([]resumer.Stream)
	// Fetch asks the other entries for streams; see [Forwarder.ReceiveVersions].
	Fetch func(streams []uint64)
}

// RecallVersions adds the software versions of streams that all entries have kept in the
// platform.
func (f *Forwarder) RecallVersions(r resumer.Recall) {
	f.put(event{kind: eventVersionsRecalled, recall: r})
}

// VersionsKept means that the platform has acknowledged a record of this entry.
func (f *Forwarder) VersionsKept(r resumer.Record) {
	f.put(event{kind: eventVersionsKept, record: r})
}

// FetchVersions calls reply with what this entry knows of streams. It is called on the
// goroutine of the forwarder and must not block.
func (f *Forwarder) FetchVersions(streams []uint64, reply func(resumer.Reply)) {
	f.put(event{kind: eventVersionsFetched, streams: streams, replyVersions: reply})
}

// ReceiveVersions adds the reply of another entry that was asked for streams.
func (f *Forwarder) ReceiveVersions(entry string, r resumer.Reply) {
	f.put(event{kind: eventVersionsReceived, entry: entry, versions: r})
}

func (f *Forwarder) handleVersions(now time.Time, e event) {
	switch e.kind {
	case eventVersionsRecalled:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventVersionsRecalled, Recall: e.recall})
	case eventVersionsKept:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventVersionsKept, Record: e.record})
	case eventVersionsFetched:
		e.replyVersions(f.dispatcher.KnownVersions(now, e.streams))
	case eventVersionsReceived:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventVersionsReceived, Entry: e.entry, Reply: e.versions})
	}
}

func (f *Forwarder) executeVersions(a dispatcher.Action) {
	v := f.options.Versions
	switch {
	case a.Kind == dispatcher.ActionKeepVersions && v.Keep != nil:
		v.Keep(a.Record)
	case a.Kind == dispatcher.ActionRecallVersions && v.Recall != nil:
		v.Recall(a.Ticket)
	case a.Kind == dispatcher.ActionShareVersions && v.Share != nil:
		v.Share(a.Shared)
	case a.Kind == dispatcher.ActionFetchVersions && v.Fetch != nil:
		klog.InfoS("software versions of streams asked for", "streams", len(a.Streams))
		v.Fetch(a.Streams)
	}
}
