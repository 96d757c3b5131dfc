package driver

import (
	"net/http"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// TraceFromEvents converts the merged events of the gateway to a trace with the
// times, classes and sizes of the requests. Events don't contain prompt texts or
// the bodies and paths of calls, so no content of a caller gets into a trace.
func TraceFromEvents(name string, events []tracer.Event) Trace {
	t := Trace{Header: Header{Type: LineTrace, Version: TraceVersion, Name: name}}
	knownClasses := map[string]bool{}
	indexByRequest := map[string]int{}
	var start tracer.Stamp
	for _, e := range events {
		switch e.Kind {
		case tracer.KindAdmitted:
			if len(t.Requests) == 0 {
				start = e.Stamp
			}
			if !knownClasses[e.Class] {
				knownClasses[e.Class] = true
				t.Header.Classes = append(t.Header.Classes, Class{
					Name: e.Class, Tier: e.Tier, Repeatable: !e.NotRepeatable,
					FirstTokenTarget: Duration(e.FirstTokenTarget), TokenGapTarget: Duration(e.TokenGapTarget), AnswerTarget: Duration(e.AnswerTarget),
				})
			}
			indexByRequest[e.Request] = len(t.Requests)
			t.Requests = append(t.Requests, requestFromEvent(e, start, len(t.Requests)+1))
		case tracer.KindAnswered:
			if i, ok := indexByRequest[e.Request]; ok {
				t.Requests[i].AnswerTokens = e.Tokens
			}
		}
	}
	return t
}

// requestFromEvent converts an admission event. The content number makes the
// prompt or body differ from other requests.
func requestFromEvent(e tracer.Event, start tracer.Stamp, content int) Request {
	q := Request{
		Type: LineRequest, At: Duration(e.Stamp.Wall - start.Wall), Class: e.Class, Organisation: e.Organisation,
		Model: e.Model, Service: e.Service, PromptTokens: e.PromptTokens, Content: content, IdempotencyKey: e.Operation,
	}
	if q.Model == "" {
		q.PromptTokens, q.Method, q.Path = 0, http.MethodPost, "/recorded"
		return q
	}
	q.Stream = true
	return q
}
