package driver

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const traceHeader = `{"type":"trace","version":1,"name":"t","seed":7,"classes":[{"name":"chat"}]}` + "\n"

// ReadTrace must reject an invalid trace with an error that names the line and
// the field, and must read back what Write has written.
func TestReadTraceReportsInvalidLineAndField(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"empty trace", "", "empty"},
		{"first line is not a header", `{"type":"request"}`, "line 1: the first line"},
		{"unsupported version", `{"type":"trace","version":9,"classes":[]}`, "line 1: version"},
		{"unknown field", traceHeader + `{"type":"request","class":"chat","model":"m","size":1}`, `line 2: json: unknown field "size"`},
		{"unknown class", traceHeader + `{"type":"request","class":"x","model":"m"}`, "line 2: class"},
		{"model and service", traceHeader + `{"type":"request","class":"chat","model":"m","service":"s"}`, "line 2: model, service"},
		{"flow without rate", traceHeader + `{"type":"flow","class":"chat","model":"m","for":"1s"}`, "line 2: rate"},
		{"negative tokens", traceHeader + `{"type":"request","class":"chat","model":"m","answer_tokens":-1}`, "line 2: prompt_tokens, answer_tokens"},
		{"too many tokens", traceHeader + `{"type":"flow","class":"chat","model":"m","for":"1s","rate":1,"max_answer_tokens":9223372036854775807}`, "line 2: answer_tokens, max"},
		{"too many requests", traceHeader + `{"type":"flow","class":"chat","model":"m","for":"1h","rate":1e9}`, "line 2: rate, for"},
		{"too long a flow", traceHeader + `{"type":"flow","class":"chat","model":"m","for":"9000h","rate":1}`, "line 2: at, for"},
		{"negative send time", traceHeader + `{"type":"request","class":"chat","model":"m","at":"-1s"}`, "line 2: duration"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadTrace(strings.NewReader(c.text))
			is.New(t).True(err != nil && strings.Contains(err.Error(), c.want))
		})
	}
	t.Run("seeded mix is repeatable and equal after Write and ReadTrace", func(t *testing.T) {
		is := is.New(t)
		a, err := MixedTrace(3, 50, 2*time.Second)
		is.NoErr(err)
		b, err := MixedTrace(3, 50, 2*time.Second)
		is.NoErr(err)
		is.Equal(a, b)
		var text bytes.Buffer
		is.NoErr(a.Write(&text))
		b, err = ReadTrace(&text)
		is.NoErr(err)
		is.Equal(a, b)
	})
}

// The driver must detect every kind of bad answer, or a faulty gateway would pass
// the load tests.
func TestDriverClassifiesAnswers(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Clock: timer.System{}})
	replaceInAnswer := func(old, text string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			rec := httptest.NewRecorder()
			engine.ServeHTTP(rec, r)
			_, _ = fmt.Fprint(w, strings.Replace(rec.Body.String(), old, text, 1))
		}
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    ResultState
	}{
		{"unchanged answer", replaceInAnswer("", ""), StateAnswered},
		{"changed token", replaceInAnswer(".3 ", ".4 "), StateWrong},
		{"missing token", replaceInAnswer(`{"content":"t`, `{"other":"t`), StateWrong},
		{"stream without end marker", replaceInAnswer("data: [DONE]", ""), StateBroken},
		{"status 503", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, StateRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := runDriver(t, c.handler, 5)
			is.Equal(len(r.Classes), 1)
			is.Equal(r.Total.Requests, 5)
			counts := map[ResultState]int{StateAnswered: r.Total.Answered, StateWrong: r.Total.Wrong, StateBroken: r.Total.Broken, StateRefused: r.Total.Refused}
			is.Equal(counts[c.want], 5)
		})
	}
}

// Arrivals must not wait for answers, or a slow system would reduce its own load.
// The handler answers only after all eight requests have arrived.
func TestDriverSendsWithoutWaitingForAnswers(t *testing.T) {
	arrived := make(chan struct{}, 8)
	release := make(chan struct{})
	go func() {
		for range 8 {
			<-arrived
		}
		close(release)
	}()
	r := runDriver(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		w.WriteHeader(http.StatusServiceUnavailable)
	}, 8)
	is.New(t).Equal(r.Total.Refused, 8)
}

// Check must name each expectation that the run missed.
func TestCheckNamesMissedExpectations(t *testing.T) {
	is := is.New(t)
	minAnswered, maxWrong := 0.9, 0
	r := newReport(Header{Classes: []Class{{Name: "chat"}}, Expect: []Expectation{{Class: "chat", Answered: &minAnswered, Wrong: &maxWrong}}})
	r.add(Result{Class: "chat", State: StateAnswered})
	is.NoErr(r.Check(true))
	r.add(Result{Class: "chat", State: StateWrong})
	err := r.Check(true)
	is.True(strings.Contains(err.Error(), "share answered"))
	is.True(strings.Contains(err.Error(), "wrong answers"))
}

func TestPlotWritesSVG(t *testing.T) {
	is := is.New(t)
	r := newReport(Header{Classes: []Class{{Name: "chat"}, {Name: "unused"}}})
	r.Points = []Point{{At: time.Second, Class: "chat", Met: true}, {At: 2 * time.Second, Class: "chat"}}
	path := filepath.Join(t.TempDir(), "p.svg")
	is.NoErr(r.Plot(path))
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(bytes.Contains(data, []byte("<svg")))
}

// runDriver sends n streamed requests to h and returns the report.
func runDriver(t *testing.T, h http.HandlerFunc, n int) *Report {
	t.Helper()
	s := httptest.NewServer(h)
	defer s.Close()
	tr := Trace{Header: Header{Classes: []Class{{Name: "chat"}}}}
	for i := range n {
		tr.Requests = append(tr.Requests, Request{Class: "chat", Model: "m", Stream: true, Content: i, AnswerTokens: 10})
	}
	return New(Options{URLs: []string{s.URL}, Clock: timer.System{}, Trace: tr}).Wait()
}

// A trace made from recorded events must have their times, classes and sizes.
func TestTraceFromEventsKeepsTimesClassesAndSizes(t *testing.T) {
	is := is.New(t)
	got := TraceFromEvents("r", []tracer.Event{
		{Stamp: tracer.Stamp{Wall: 5e9}, Kind: tracer.KindAdmitted, Request: "a", Class: "chat", Tier: 2, Model: "desk", PromptTokens: 12, FirstTokenTarget: time.Second},
		{Stamp: tracer.Stamp{Wall: 6e9}, Kind: tracer.KindAdmitted, Request: "b", Class: "hold", Tier: 1, Service: "booking", NotRepeatable: true},
		{Stamp: tracer.Stamp{Wall: 7e9}, Kind: tracer.KindAnswered, Request: "a", Tokens: 40},
	})
	is.Equal(got.Header.Classes, []Class{{Name: "chat", Tier: 2, FirstTokenTarget: Duration(time.Second), Repeatable: true}, {Name: "hold", Tier: 1}})
	is.Equal(got.Requests[0], Request{Type: LineRequest, Class: "chat", Model: "desk", PromptTokens: 12, AnswerTokens: 40, Stream: true, Content: 1})
	is.Equal(got.Requests[1].At, Duration(time.Second))
	var text bytes.Buffer
	is.NoErr(got.Write(&text))
	_, err := ReadTrace(&text)
	is.NoErr(err)
}
