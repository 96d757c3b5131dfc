package exchanger

import (
	"encoding/json"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/dialer"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/tracker"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

func (x *Exchanger) execute(a Action) {
	switch a.Kind {
	case ActionDial:
		x.dial(a.Address)
	case ActionDisconnect:
		d := x.dialers[a.Address]
		delete(x.dialers, a.Address)
		// Stop waits until the end of the connection is reported to the input ring,
		// which this goroutine drains, so waiting here could deadlock.
		go d.Stop()
	case ActionSend:
		x.send(a)
	case ActionSetRelay:
		x.options.OnRelayChange(a.Relay)
	case ActionPeerRevision:
		x.options.OnPeerRevision(a.Link, a.Identity, a.Revision, a.KnownEntries)
	case ActionLinkClosed:
		x.options.OnLinkClosed(a.Link)
	case ActionReadList:
		go x.readList()
	case ActionWriteStatus:
		x.statuses.Put(x.ctx, a.Status)
	case ActionMemberChanged:
		x.recordMember(a.Member)
	}
}

func (x *Exchanger) send(a Action) {
	c := x.conns[a.Link]
	if c == nil {
		return
	}
	a.Message.Stamp = x.options.Recorder.Stamp()
	data, err := json.Marshal(a.Message)
	if err != nil {
		return
	}
	x.count(messenger.MethodExchange, "sent", len(data))
	c.Notify(messenger.MethodExchange, json.RawMessage(data))
}

func (x *Exchanger) dial(address string) {
	link := outboundLink(address)
	x.dialers[address] = dialer.New(dialer.Options{
		Address: address, Clock: x.options.Clock,
		Messenger: messenger.Options{Self: x.options.Settings.Self, Secret: x.options.Secret, Handle: x.dispatch},
		OnConnect: func(c *messenger.Conn) {
			x.enqueue(input{event: Event{Kind: EventLinkOpened, Link: link, Peer: c.Peer}, conn: c})
			if x.options.OnDialled != nil {
				x.options.OnDialled(c)
			}
		},
	})
}

// dispatch handles the messages on a connection that this process has dialled.
func (x *Exchanger) dispatch(c *messenger.Conn, m messenger.Message) (any, error) {
	if m.Method == messenger.MethodExchange || m.Method == "" || x.options.Handle == nil {
		return x.Handle(c, m)
	}
	return x.options.Handle(c, m)
}

// readList reads the platform's list of VMs of the own zone. It ignores a failure,
// since the list is read again after listInterval.
func (x *Exchanger) readList() {
	o, err := x.options.Store.Get(x.ctx, tracker.ListPrefix+x.options.Settings.Self.AvailabilityZone)
	if err != nil {
		x.logFailure(err, "list of VMs not read")
		return
	}
	if o.Version == 0 {
		return
	}
	var l tracker.List
	if err := json.Unmarshal(o.Value, &l); err != nil {
		x.logFailure(err, "list of VMs ignored")
		return
	}
	x.enqueue(input{event: Event{Kind: EventListRead, List: l}})
}

// writeStatus writes the status of the zone. A failed write is not retried: the
// next change of the status causes another write.
func (x *Exchanger) writeStatus(s cataloger.Status) {
	key := cataloger.StatusPrefix + s.AvailabilityZone
	o, err := x.options.Store.Get(x.ctx, key)
	if err != nil {
		x.logFailure(err, "status of the zone not written")
		return
	}
	var old cataloger.Status
	if json.Unmarshal(o.Value, &old) == nil && len(s.Reached) > 0 && len(old.Reached) > 0 {
		// Another relay may have written the history before this process became the
		// first relay.
		merged := old
		for _, r := range s.Reached {
			merged.AddReached(r.Revision, r.Since)
		}
		s.Reached = merged.Reached
	}
	data, err := json.Marshal(s)
	if err == nil {
		_, err = x.options.Store.Put(x.ctx, key, data, o.Version)
	}
	if err != nil {
		x.logFailure(err, "status of the zone not written")
	}
}

// logFailure logs a failed call of the platform, unless the exchanger stops.
func (x *Exchanger) logFailure(err error, message string) {
	if x.ctx.Err() == nil {
		klog.ErrorS(err, message, "availability_zone", x.options.Settings.Self.AvailabilityZone)
	}
}

// recordMember records the event of a member's change of state.
func (x *Exchanger) recordMember(a tracker.Action) {
	kinds := map[tracker.State]tracer.Kind{
		tracker.StateLive: tracer.KindMemberJoined, tracker.StateLeaving: tracer.KindMemberLeaving,
		tracker.StateUnreachable: tracer.KindMemberGone, tracker.StateLeft: tracer.KindMemberGone,
	}
	x.options.Recorder.Record(tracer.Event{Kind: kinds[a.Member.State], Upstream: a.Member.Identity, Reason: string(a.Member.State)})
}
