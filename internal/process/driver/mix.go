package driver

import (
	"time"

	"github.com/go-faster/errors"
)

// MixedTrace returns a seeded trace for the demo configuration. Three of four
// requests are streamed chat completions; the others call /holds of the plain
// service. Rate is the total number of requests a second.
func MixedTrace(seed uint64, rate float64, length time.Duration) (Trace, error) {
	t := Trace{Header: Header{
		Type: LineTrace, Version: TraceVersion, Name: "mix", Seed: seed,
		Classes: []Class{
			{Name: "battery-check", Tier: 2, FirstTokenTarget: Duration(time.Second), TokenGapTarget: Duration(33 * time.Millisecond), Repeatable: true},
			{Name: "hold", Tier: 1, AnswerTarget: Duration(2 * time.Second)},
		},
	}}
	chat := Request{Class: "battery-check", Model: "desk", Stream: true, PromptTokens: 50, AnswerTokens: 5}
	hold := Request{Class: "hold", Service: "booking", Method: "POST", Path: "/holds"}
	err := errors.Join(
		t.addFlow(Flow{Request: chat, Duration: Duration(length), Rate: rate * 3 / 4, MaxAnswerTokens: 100}),
		t.addFlow(Flow{Request: hold, Duration: Duration(length), Rate: rate / 4}),
	)
	if err != nil {
		return t, &Error{Op: "make mix", Kind: ErrorFormat, Err: err}
	}
	t.sort()
	return t, nil
}
