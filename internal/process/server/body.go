package server

import (
	"net/http"
	"slices"

	"magnoliafront.dev/magnoliafront/internal/process/collector"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/request/decoder"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
)

// bodyCopies is the number of times that a body is held at most: as it is read, as it is
// decoded, and in the message to the agent.
const bodyCopies = 3

// newCollector returns the collector of the bodies of a server. Its budget leaves room for
// all copies of a body.
func newCollector(o Options) *collector.Collector {
	var budget *reserver.Budget
	if bodies := o.Memory.Bodies; bodies != nil {
		budget = bodies.NewPart(bodies.Stats().Limit / bodyCopies)
	}
	return collector.New(collector.Options{Clock: o.Clock, Budget: budget})
}

// Bodies returns the numbers of bodies that were not read to their end, and the state of
// the budget for large ones.
func (s *Server) Bodies() collector.Stats { return s.bodies.Stats() }

// readBody reads the body of a request. If it cannot be read to its end, it answers the
// caller and returns false.
func (s *Server) readBody(w http.ResponseWriter, req *http.Request) (*collector.Body, bool) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, true
	}
	body, err := s.bodies.Read(collector.Source{
		Reader: req.Body, Length: req.ContentLength, MaxBytes: decoder.MaxBodyBytes, Caller: req.RemoteAddr,
		SetReadDeadline: http.NewResponseController(w).SetReadDeadline,
	})
	if err != nil {
		collector.CloseUnread(w)
		responder.WriteFailure(w, collector.FailureOf(err, s.options.Clock.Now()))
		return nil, false
	}
	return body, true
}

// join returns the bytes of a body in one piece.
func join(b *collector.Body) []byte {
	if parts := b.Parts(); len(parts) != 1 {
		return slices.Concat(parts...)
	}
	return b.Parts()[0]
}
