package messenger

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// The protocol versions that this binary speaks. A connection uses the highest
// version that both sides know.
const (
	MinVersion = 1
	MaxVersion = 1
)

// The methods of the protocol.
const (
	MethodHello        = "hello"
	MethodProve        = "prove"
	MethodSubmit       = "submit"
	MethodFrame        = "frame"
	MethodCancel       = "cancel"
	MethodNotice       = "notice"
	MethodExchange     = "exchange"
	MethodFetchRecords = "fetch_records"
	MethodClaim        = "claim"
	MethodReport       = "report"
	MethodShare        = "share"
	MethodStrike       = "strike"
	MethodFetchEvents  = "fetch_events"
	MethodOrder        = "order"
	MethodFetchState   = "fetch_state"
	MethodState        = "state"
	MethodLoad         = "load"
)

// Role tells what a process is.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	RoleTool  Role = "tool"
)

// Peer describes one side of a connection.
type Peer struct {
	Role             Role   `json:"role"`
	Identity         string `json:"identity"`
	AvailabilityZone string `json:"availability_zone"`
}

// Hello is the first message of the side that dialled.
type Hello struct {
	Peer
	MinVersion int    `json:"min_version"`
	MaxVersion int    `json:"max_version"`
	Nonce      []byte `json:"nonce"`
}

// Welcome answers a Hello. Proof shows that the answering side knows the
// shared secret.
type Welcome struct {
	Peer
	Version int    `json:"version"`
	Nonce   []byte `json:"nonce"`
	Proof   []byte `json:"proof"`
}

// Prove shows that the dialling side knows the shared secret.
type Prove struct {
	Proof []byte `json:"proof"`
}

// Submit asks an agent to run one attempt of a request.
type Submit struct {
	Stamp        tracer.Stamp `json:"stamp"`
	Request      string       `json:"request"`
	Attempt      int          `json:"attempt"`
	Class        string       `json:"class"`
	Tier         int          `json:"tier"`
	Organisation string       `json:"organisation"`
	Repeatable   bool         `json:"repeatable"`
	// Fingerprint identifies the content, whoever sends it under whatever key.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Suspect is true if an upstream crashed with the content in flight.
	Suspect bool `json:"suspect,omitempty"`
	// FirstTokenIn and AnswerIn are the times left until the targets of the
	// class. They are durations, since the clocks of two VMs differ. Zero means
	// no target.
	FirstTokenIn   time.Duration `json:"first_token_in,omitempty"`
	AnswerIn       time.Duration `json:"answer_in,omitempty"`
	PromptTokens   int           `json:"prompt_tokens,omitempty"`
	ExpectedTokens int           `json:"expected_tokens,omitempty"`
	ResumeFrom     int           `json:"resume_from,omitempty"`
	// Body is the body of a chat completion. It travels in base64, since the
	// JSON-RPC library decodes and encodes JSON in parameters again and so
	// changes the order of its fields.
	Body []byte `json:"body,omitempty"`
	// Call is set for a request to a plain service.
	Call *Call `json:"call,omitempty"`
	// Revision is the revision of the records that the entry has in force.
	Revision int64 `json:"revision,omitempty"`
}

// Call is a request to a plain service, passed on unchanged.
type Call struct {
	Method string              `json:"method"`
	Path   string              `json:"path"`
	Query  string              `json:"query,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// FrameKind tells what a frame reports.
type FrameKind string

// The kinds of frames.
const (
	// FrameQueued acknowledges a submit.
	FrameQueued FrameKind = "queued"
	// FrameRefused means that this attempt was not run here and will not be.
	FrameRefused FrameKind = "refused"
	// FrameStarted means that the attempt was handed to the upstream.
	FrameStarted FrameKind = "started"
	// FrameTokens carries tokens of the answer.
	FrameTokens FrameKind = "tokens"
	// FrameResponse carries the response of a plain service.
	FrameResponse FrameKind = "response"
	// FrameFinished ends an answer.
	FrameFinished FrameKind = "finished"
	// FrameLost means that the attempt started, or had tokens from elsewhere, and
	// cannot go on here. The tokens sent so far are valid.
	FrameLost FrameKind = "lost"
)

// Frame reports the progress of one attempt to the entry.
type Frame struct {
	Stamp   tracer.Stamp `json:"stamp"`
	Request string       `json:"request"`
	Attempt int          `json:"attempt"`
	Kind    FrameKind    `json:"kind"`
	// First is the number of the first token in Tokens, counted from zero over
	// the whole answer.
	First  int      `json:"first,omitempty"`
	Tokens []string `json:"tokens,omitempty"`
	// FinishReason is that of the engine.
	FinishReason string `json:"finish_reason,omitempty"`
	// Reason says why an attempt was refused or lost.
	Reason string `json:"reason,omitempty"`
	// Status is set with FrameRefused if the engine found fault with the request
	// itself; Reason is then its text.
	Status int `json:"status,omitempty"`
	// Crashed is true if the upstream died with the attempt in flight.
	Crashed  bool            `json:"crashed,omitempty"`
	Response *Response       `json:"response,omitempty"`
	Load     *scheduler.Load `json:"load,omitempty"`
	// Revision is the revision of the records that the agent has in force.
	Revision int64 `json:"revision,omitempty"`
}

// Response is the response of a plain service.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Cancel withdraws one attempt.
type Cancel struct {
	Stamp   tracer.Stamp `json:"stamp"`
	Request string       `json:"request"`
	Attempt int          `json:"attempt"`
}

// Notice tells the other side of a connection about the sender as a whole.
type Notice struct {
	Stamp   tracer.Stamp `json:"stamp"`
	Leaving bool         `json:"leaving,omitempty"`
	// Down is true while the upstream of an agent cannot be reached.
	Down     bool            `json:"down,omitempty"`
	Load     *scheduler.Load `json:"load,omitempty"`
	Revision int64           `json:"revision,omitempty"`
}
