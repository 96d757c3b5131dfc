package driver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// TraceVersion is the supported version of the trace format.
const TraceVersion = 1

// The bounds of a trace. A prompt is held in memory while it is sent.
const (
	// maxTraceRequests bounds the requests after the flows are expanded.
	maxTraceRequests = 1 << 20
	// maxTraceTokens bounds the length of a prompt and of an answer.
	maxTraceTokens = 1 << 22
	// maxTraceDuration bounds the time of a request, and the duration of a flow.
	maxTraceDuration = 31 * 24 * time.Hour
)

// LineType is the type of a line of a trace.
type LineType string

// The line types.
const (
	// LineTrace is the header, see [Header].
	LineTrace LineType = "trace"
	// LineRequest is a single request, see [Request].
	LineRequest LineType = "request"
	// LineFlow is expanded to many requests at random times, see [Flow].
	LineFlow LineType = "flow"
	// LineFault is a fault of an emulated system, see [Fault]. It is ignored when
	// the trace is sent to a live system.
	LineFault LineType = "fault"
)

// Duration is a [time.Duration] that is encoded as text such as 1.5s.
type Duration time.Duration

// MarshalText implements [encoding.TextMarshaler].
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = errors.Errorf("duration %s is negative", v)
	}
	*d = Duration(v)
	return err
}

// Header is the first line of a trace.
type Header struct {
	Type    LineType `json:"type"`
	Version int      `json:"version"`
	Name    string   `json:"name"`
	// About describes the scenario and the expected outcome.
	About string `json:"about,omitempty"`
	// Seed seeds the random times and answer lengths of flows.
	Seed    uint64        `json:"seed,omitempty"`
	Systems Systems       `json:"systems,omitzero"`
	Classes []Class       `json:"classes"`
	Expect  []Expectation `json:"expect,omitempty"`
}

// Systems describes the emulated systems on which a trace is replayed.
type Systems struct {
	Entries int `json:"entries,omitempty"`
	Engines int `json:"engines,omitempty"`
	Slots   int `json:"slots,omitempty"`
	// Prefill is the delay before the first token of an engine, and Gap the time
	// between its tokens.
	Prefill Duration `json:"prefill,omitempty"`
	Gap     Duration `json:"gap,omitempty"`
}

// Class is a request class with its latency targets. A zero target is not
// checked.
type Class struct {
	Name             string   `json:"name"`
	Tier             int      `json:"tier,omitempty"`
	FirstTokenTarget Duration `json:"first_token_target,omitempty"`
	TokenGapTarget   Duration `json:"token_gap_target,omitempty"`
	AnswerTarget     Duration `json:"answer_target,omitempty"`
	Repeatable       bool     `json:"repeatable,omitempty"`
}

// Record returns the configuration record of the class.
func (c Class) Record() descriptor.Record {
	return descriptor.Record{SchemaVersion: descriptor.SchemaVersion, Kind: descriptor.KindClass, Name: c.Name, Class: &descriptor.Class{
		Tier: c.Tier, FirstTokenTarget: time.Duration(c.FirstTokenTarget), TokenGapTarget: time.Duration(c.TokenGapTarget),
		AnswerTarget: time.Duration(c.AnswerTarget), Repeatable: c.Repeatable,
	}}
}

// Expectation is an expected outcome of a class, or of all classes together if
// Class is empty. Nil fields are not checked.
type Expectation struct {
	Class string `json:"class,omitempty"`
	// Attainment is the minimum share of requests that meet their targets.
	Attainment *float64 `json:"attainment,omitempty"`
	// Answered is the minimum share of requests with a complete answer.
	Answered *float64 `json:"answered,omitempty"`
	// Refused is the maximum share of refused requests.
	Refused *float64 `json:"refused,omitempty"`
	// Broken is the maximum share of requests whose answer is incomplete or whose
	// outcome is unknown to the caller.
	Broken *float64 `json:"broken,omitempty"`
	// Wrong is the maximum number of answers with a wrong text.
	Wrong *int `json:"wrong,omitempty"`
	// Repeated is the maximum number of calls that ran more than once.
	Repeated *int `json:"repeated,omitempty"`
}

// Request is a line of a trace with a request to send at the time At, relative to
// the start of the trace.
type Request struct {
	Type         LineType `json:"type"`
	At           Duration `json:"at"`
	Class        string   `json:"class"`
	Organisation string   `json:"organisation,omitempty"`
	// Model is the model of a chat completion. It is empty for a service call.
	Model        string `json:"model,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	// AnswerTokens bounds the length of the answer. Zero leaves it to the engine.
	AnswerTokens int  `json:"answer_tokens,omitempty"`
	Stream       bool `json:"stream,omitempty"`
	// Content makes the prompt or the body differ from other requests. Requests
	// with the same content and limits have the same prompt.
	Content int `json:"content,omitempty"`
	// Service, Method and Path define a call to a plain service.
	Service        string `json:"service,omitempty"`
	Method         string `json:"method,omitempty"`
	Path           string `json:"path,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// Flow is a line of a trace that is expanded to many requests like the embedded
// one. They arrive at random times and independently of each other.
type Flow struct {
	Request
	// Requests arrive during Duration at a mean of Rate requests a second.
	Duration Duration `json:"for"`
	Rate     float64  `json:"rate"`
	// If MaxAnswerTokens exceeds AnswerTokens, the bound of each answer is drawn
	// at random between the two.
	MaxAnswerTokens int `json:"max_answer_tokens,omitempty"`
}

// Fault is a line of a trace with a fault to inject into an emulated system.
type Fault struct {
	Type LineType `json:"type"`
	At   Duration `json:"at"`
	// Fault is the kind of fault: platform_down, engine_slow, engine_crash,
	// agent_replaced or poison.
	Fault string `json:"fault"`
	// Duration is how long the fault lasts. Zero means until the end of the run.
	Duration Duration `json:"for,omitempty"`
	// Upstream is the name of the upstream that the fault affects.
	Upstream string `json:"upstream,omitempty"`
	// Content is the content of the request that crashes the engine running it.
	Content int `json:"content,omitempty"`
	// Factor is the factor by which an engine slows down.
	Factor float64 `json:"factor,omitempty"`
}

// Trace is a trace with all flows expanded. Requests and faults are sorted by
// time.
type Trace struct {
	Header   Header
	Requests []Request
	Faults   []Fault
}

// ReadTrace reads a trace in JSON lines and expands its flows. A format error
// names the line.
func ReadTrace(r io.Reader) (Trace, error) {
	var t Trace
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 4096), 1<<20)
	for n := 1; lines.Scan(); n++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if err := t.addLine(lines.Bytes()); err != nil {
			return t, &Error{Op: "read trace", Kind: ErrorFormat, Err: errors.Wrapf(err, "line %d", n)}
		}
	}
	if err := lines.Err(); err != nil {
		return t, &Error{Op: "read trace", Kind: ErrorFormat, Err: err}
	}
	if t.Header.Type == "" {
		return t, &Error{Op: "read trace", Kind: ErrorFormat, Err: errors.New("the trace is empty")}
	}
	t.sort()
	return t, nil
}

func (t *Trace) sort() {
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return int(a.At - b.At) })
	slices.SortStableFunc(t.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// addLine parses a line and adds its content to the trace.
func (t *Trace) addLine(data []byte) error {
	var line struct {
		Type LineType `json:"type"`
	}
	if err := json.Unmarshal(data, &line); err != nil {
		return err
	}
	if (line.Type == LineTrace) == (t.Header.Type != "") {
		return errors.New("the first line, and no other, must have the type trace")
	}
	switch line.Type {
	case LineTrace:
		if err := decodeStrict(data, &t.Header); err != nil {
			return err
		}
		if t.Header.Version != TraceVersion {
			return errors.Errorf("version: expects %d, got %d", TraceVersion, t.Header.Version)
		}
	case LineRequest:
		var q Request
		if err := decodeStrict(data, &q); err != nil {
			return err
		}
		return t.addRequest(q)
	case LineFlow:
		var f Flow
		if err := decodeStrict(data, &f); err != nil {
			return err
		}
		return t.addFlow(f)
	case LineFault:
		var f Fault
		if err := decodeStrict(data, &f); err != nil {
			return err
		}
		t.Faults = append(t.Faults, f)
	default:
		return errors.Errorf("type: %q is not trace, request, flow or fault", line.Type)
	}
	return nil
}

// decodeStrict decodes JSON and rejects unknown fields.
func decodeStrict(data []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(to)
}

func (t *Trace) addRequest(q Request) error {
	switch {
	case !slices.ContainsFunc(t.Header.Classes, func(c Class) bool { return c.Name == q.Class }):
		return errors.Errorf("class: %q is not among the classes of the header", q.Class)
	case (q.Model == "") == (q.Service == ""):
		return errors.Errorf("model, service: expects one of the two, got %q and %q", q.Model, q.Service)
	case !isTokenCount(q.PromptTokens) || !isTokenCount(q.AnswerTokens):
		return errors.Errorf("prompt_tokens, answer_tokens: expects 0 to %d, got %d and %d", maxTraceTokens, q.PromptTokens, q.AnswerTokens)
	case time.Duration(q.At) > maxTraceDuration:
		return errors.Errorf("at: expects at most %v, got %v", maxTraceDuration, time.Duration(q.At))
	case len(t.Requests) >= maxTraceRequests:
		return errors.Errorf("the trace has more than %d requests", maxTraceRequests)
	}
	t.Requests = append(t.Requests, q)
	return nil
}

func isTokenCount(n int) bool { return n >= 0 && n <= maxTraceTokens }

// addFlow adds the requests of a flow. The times between arrivals are
// exponentially distributed, like the arrivals of many independent callers.
func (t *Trace) addFlow(f Flow) error {
	switch {
	case f.Rate <= 0 || f.Duration <= 0:
		return errors.Errorf("rate, for: expects positive values, got %v and %v", f.Rate, time.Duration(f.Duration))
	case time.Duration(max(f.At, f.Duration)) > maxTraceDuration:
		return errors.Errorf("at, for: expects at most %v, got %v and %v", maxTraceDuration, time.Duration(f.At), time.Duration(f.Duration))
	case f.Rate*time.Duration(f.Duration).Seconds() > maxTraceRequests:
		return errors.Errorf("rate, for: expects at most %d requests, got %v a second for %v", maxTraceRequests, f.Rate, time.Duration(f.Duration))
	case !isTokenCount(f.AnswerTokens) || !isTokenCount(f.MaxAnswerTokens):
		return errors.Errorf("answer_tokens, max_answer_tokens: expects 0 to %d, got %d and %d", maxTraceTokens, f.AnswerTokens, f.MaxAnswerTokens)
	}
	random := rand.New(rand.NewPCG(t.Header.Seed, uint64(len(t.Requests))))
	at := float64(f.At)
	for {
		at += random.ExpFloat64() / f.Rate * float64(time.Second)
		if at >= float64(f.At+f.Duration) {
			return nil
		}
		q := f.Request
		q.Type, q.At = LineRequest, Duration(at)
		if f.MaxAnswerTokens > q.AnswerTokens {
			q.AnswerTokens += random.IntN(f.MaxAnswerTokens - q.AnswerTokens + 1)
		}
		if q.Content == 0 {
			q.Content = len(t.Requests) + 1
		}
		if q.IdempotencyKey != "" {
			q.IdempotencyKey = fmt.Sprintf("%s-%d", q.IdempotencyKey, q.Content)
		}
		if err := t.addRequest(q); err != nil {
			return err
		}
	}
}

// Write writes t as JSON lines.
func (t Trace) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	t.Header.Type, t.Header.Version = LineTrace, TraceVersion
	err := enc.Encode(t.Header)
	for _, q := range t.Requests {
		q.Type = LineRequest
		err = errors.Join(err, enc.Encode(q))
	}
	for _, f := range t.Faults {
		f.Type = LineFault
		err = errors.Join(err, enc.Encode(f))
	}
	if err = errors.Join(err, b.Flush()); err != nil {
		return &Error{Op: "write trace", Kind: ErrorWrite, Err: err}
	}
	return nil
}
