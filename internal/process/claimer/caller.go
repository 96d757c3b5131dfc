package claimer

import (
	"context"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// serve is the duty of one shard that calls the platform.
func (c *Claimer) serve(ctx context.Context, calls *buffer.Ring[Call, buffer.Reject]) {
	for {
		call, ok := calls.Take(ctx)
		if !ok {
			return
		}
		out, err := c.call(ctx, call)
		if err != nil {
			out = Outcome{Fault: faultOf(err)}
		}
		c.events.Put(ctx, input{event: Event{Kind: EventCalled, Call: call, Outcome: out}})
	}
}

// call makes one call of the platform, bounded by [callTimeout] on the clock of
// the options.
func (c *Claimer) call(ctx context.Context, call Call) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wake, stop := c.options.Clock.After(callTimeout)
	defer stop()
	go func() {
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	}()
	key := segmentKey(call.Shard, call.Sequence)
	switch call.Kind {
	case CallList:
		return c.list(ctx, call.Shard)
	case CallDelete:
		return Outcome{}, c.options.Store.Delete(ctx, key, call.Expect)
	case CallWrite:
		value, err := call.Segment.Encode()
		if err != nil {
			return Outcome{}, err
		}
		o, err := c.options.Store.Put(ctx, key, value, call.Expect)
		return Outcome{Object: Object{Sequence: call.Sequence, Version: o.Version}}, err
	}
	o, err := c.options.Store.Get(ctx, key)
	if err != nil || o.Version == 0 {
		return Outcome{Object: Object{Sequence: call.Sequence}}, err
	}
	s, err := DecodeSegment(o.Value)
	return Outcome{Object: Object{Sequence: call.Sequence, Version: o.Version, Segment: s}}, err
}

func (c *Claimer) list(ctx context.Context, shard int) (Outcome, error) {
	objects, err := c.options.Store.List(ctx, prefix(shard))
	if err != nil {
		return Outcome{}, err
	}
	out := Outcome{}
	for _, o := range objects {
		n, err := sequenceOf(o.Key)
		if err != nil {
			return Outcome{}, err
		}
		s, err := DecodeSegment(o.Value)
		if err != nil {
			return Outcome{}, err
		}
		out.Objects = append(out.Objects, Object{Sequence: n, Version: o.Version, Segment: s})
	}
	return out, nil
}

// faultOf classifies an error. An object that cannot be read is treated like a
// platform that does not answer: no claim is granted.
func faultOf(err error) Fault {
	switch {
	case accessor.IsKind(err, accessor.ErrorOutcomeUnknown):
		return FaultUnknown
	case accessor.IsKind(err, accessor.ErrorConflict):
		return FaultConflict
	}
	return FaultUnavailable
}
