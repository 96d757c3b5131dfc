package claimer

import (
	"context"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// runCaller is the goroutine that calls the platform for one shard, one call at a
// time.
func (c *Claimer) runCaller(ctx context.Context, calls *buffer.Ring[Call, buffer.Reject]) {
	for {
		call, ok := calls.Take(ctx)
		if !ok {
			return
		}
		out, err := c.callPlatform(ctx, call)
		if err != nil {
			out = Outcome{Fault: classifyFault(err)}
		}
		c.events.Put(ctx, ringEvent{event: Event{Kind: EventCallDone, Call: call, Outcome: out}})
	}
}

// callPlatform makes one call of the platform. It cancels the call after
// [callTimeout] on the clock of the options.
func (c *Claimer) callPlatform(ctx context.Context, call Call) (Outcome, error) {
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
		return c.listSegments(ctx, call.Shard)
	case CallDelete:
		return Outcome{}, c.options.Store.Delete(ctx, key, call.ExpectedVersion)
	case CallWrite:
		value, err := call.Segment.Encode()
		if err != nil {
			return Outcome{}, err
		}
		o, err := c.options.Store.Put(ctx, key, value, call.ExpectedVersion)
		return Outcome{Object: Object{Sequence: call.Sequence, Version: o.Version}}, err
	}
	o, err := c.options.Store.Get(ctx, key)
	if err != nil || o.Version == 0 {
		return Outcome{Object: Object{Sequence: call.Sequence}}, err
	}
	s, err := DecodeSegment(o.Value)
	return Outcome{Object: Object{Sequence: call.Sequence, Version: o.Version, Segment: s}}, err
}

// listSegments returns the segments of a shard in the order of their keys.
func (c *Claimer) listSegments(ctx context.Context, shard int) (Outcome, error) {
	objects, err := c.options.Store.List(ctx, segmentKeyPrefix(shard))
	if err != nil {
		return Outcome{}, err
	}
	out := Outcome{}
	for _, o := range objects {
		n, err := parseSequence(o.Key)
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

// classifyFault returns the fault of a failed call. An object that cannot be
// decoded counts as an unavailable platform, so no claim is granted.
func classifyFault(err error) Fault {
	switch {
	case accessor.IsKind(err, accessor.ErrorOutcomeUnknown):
		return FaultOutcomeUnknown
	case accessor.IsKind(err, accessor.ErrorConflict):
		return FaultConflict
	}
	return FaultUnavailable
}
