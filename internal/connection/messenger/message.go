package messenger

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// The range of protocol versions that this binary supports. A connection uses
// the highest version that both peers support.
const (
	MinVersion = 1
	MaxVersion = 1
)

// The JSON-RPC methods of the protocol.
const (
	MethodHello         = "hello"
	MethodProve         = "prove"
	MethodSubmit        = "submit"
	MethodFrame         = "frame"
	MethodCancel        = "cancel"
	MethodNotice        = "notice"
	MethodExchange      = "exchange"
	MethodFetchRecords  = "fetch_records"
	MethodClaim         = "claim"
	MethodReport        = "report"
	MethodShare         = "share"
	MethodStrike        = "strike"
	MethodFetchEvents   = "fetch_events"
	MethodOrder         = "order"
	MethodFetchState    = "fetch_state"
	MethodState         = "state"
	MethodLoad          = "load"
	MethodFetchStrikes  = "fetch_strikes"
	MethodKnownStrikes  = "known_strikes"
	MethodFetchVersions = "fetch_versions"
	MethodVersions      = "versions"
)

// Role is the kind of process at one end of a connection.
type Role string

// The process roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	RoleTool  Role = "tool"
)

// Peer identifies the process at one end of a connection.
type Peer struct {
	Role             Role   `json:"role"`
	Identity         string `json:"identity"`
	AvailabilityZone string `json:"availability_zone"`
}

// Hello opens the handshake. The dialling peer sends it as its first message.
type Hello struct {
	Peer
	MinVersion int    `json:"min_version"`
	MaxVersion int    `json:"max_version"`
	Nonce      []byte `json:"nonce"`
}

// Welcome is the response to a [Hello]. Proof shows that the accepting peer
// knows the shared secret.
type Welcome struct {
	Peer
	Version int    `json:"version"`
	Nonce   []byte `json:"nonce"`
	Proof   []byte `json:"proof"`
}

// Prove completes the handshake. Proof shows that the dialling peer knows the
// shared secret.
type Prove struct {
	Proof []byte `json:"proof"`
}

// Submit asks an agent to run one attempt of a request.
type Submit struct {
	Stamp   tracer.Stamp `json:"stamp"`
	Request string       `json:"request"`
	// Attempt is the number of the attempt. The first one is 1.
	Attempt int    `json:"attempt"`
	Class   string `json:"class"`
	// Tier is the priority, from 1 for the most urgent to 8.
	Tier         int    `json:"tier"`
	Organisation string `json:"organisation"`
	// Repeatable is false for a request whose side effects must happen at most
	// once.
	Repeatable bool `json:"repeatable"`
	// Fingerprint identifies the content of the request together with its
	// organisation. It does not depend on the API key or the idempotency key.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Suspect is true if an upstream crashed while it ran a request with this
	// content.
	Suspect bool `json:"suspect,omitempty"`
	// FirstTokenIn and AnswerIn are the times left until the latency targets of
	// the class for the first token and the whole answer. They are relative,
	// since the clocks of two VMs differ. Zero means no target.
	FirstTokenIn time.Duration `json:"first_token_in,omitempty"`
	AnswerIn     time.Duration `json:"answer_in,omitempty"`
	PromptTokens int           `json:"prompt_tokens,omitempty"`
	// ExpectedTokens is the estimated length of the whole answer, zero if it is
	// unknown.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
	// ResumeFrom is the number of tokens that earlier attempts have generated. The
	// attempt continues the answer after them.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Body is the body of a chat completion request. It is encoded in base64,
	// since the JSON-RPC library decodes and re-encodes JSON in parameters, which
	// changes the order of its fields.
	Body []byte `json:"body,omitempty"`
	// Call is set for a request to a plain service.
	Call *Call `json:"call,omitempty"`
	// Revision is the revision of the records that the entry has applied.
	Revision int64 `json:"revision,omitempty"`
}

// Call is an HTTP request to a plain service, forwarded unchanged.
type Call struct {
	Method string              `json:"method"`
	Path   string              `json:"path"`
	Query  string              `json:"query,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// FrameKind is the type of a [Frame].
type FrameKind string

// The frame kinds.
const (
	// FrameQueued acknowledges a [Submit].
	FrameQueued FrameKind = "queued"
	// FrameRefused means that the agent has not run this attempt and will not run
	// it.
	FrameRefused FrameKind = "refused"
	// FrameStarted means that the attempt was passed to the upstream.
	FrameStarted FrameKind = "started"
	// FrameTokens carries a part of the generated tokens.
	FrameTokens FrameKind = "tokens"
	// FrameResponse carries the response of a plain service.
	FrameResponse FrameKind = "response"
	// FrameFinished marks the end of a complete answer.
	FrameFinished FrameKind = "finished"
	// FrameLost means that this upstream cannot continue the answer, and that it or
	// an earlier upstream may have run a part of the request. The tokens sent so far
	// are valid.
	FrameLost FrameKind = "lost"
)

// Frame reports the progress of one attempt to the entry.
type Frame struct {
	Stamp   tracer.Stamp `json:"stamp"`
	Request string       `json:"request"`
	Attempt int          `json:"attempt"`
	Kind    FrameKind    `json:"kind"`
	// First is the index of the first element of Tokens in the whole answer. With
	// FrameFinished it is the number of tokens of the whole answer.
	First  int      `json:"first,omitempty"`
	Tokens []string `json:"tokens,omitempty"`
	// FinishReason is the finish_reason that the engine returned.
	FinishReason string `json:"finish_reason,omitempty"`
	// Reason is the cause of a refused or lost attempt.
	Reason string `json:"reason,omitempty"`
	// Status is set with FrameRefused if the engine rejected the request as
	// invalid. It is the HTTP status, and Reason is then the engine's error text.
	Status int `json:"status,omitempty"`
	// Crashed is true if the upstream crashed with the attempt in flight.
	Crashed  bool            `json:"crashed,omitempty"`
	Response *Response       `json:"response,omitempty"`
	Load     *scheduler.Load `json:"load,omitempty"`
	// Revision is the revision of the records that the agent has applied.
	Revision int64 `json:"revision,omitempty"`
}

// Response is the HTTP response of a plain service.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// CloseDelimited is true if only the close of the connection marked the end of the
	// response, so that it is unknown whether it was complete.
	CloseDelimited bool `json:"close_delimited,omitempty"`
}

// Cancel asks an agent to abort one attempt.
type Cancel struct {
	Stamp   tracer.Stamp `json:"stamp"`
	Request string       `json:"request"`
	Attempt int          `json:"attempt"`
}

// Notice reports the state of the sending process, independent of a request.
type Notice struct {
	Stamp tracer.Stamp `json:"stamp"`
	// Leaving is true if the sender refuses new attempts, since it is about to
	// stop or the records no longer contain its upstream.
	Leaving bool `json:"leaving,omitempty"`
	// Down is true while the agent's upstream is unreachable.
	Down bool            `json:"down,omitempty"`
	Load *scheduler.Load `json:"load,omitempty"`
	// Revision is the revision of the records that the sender has applied.
	Revision int64 `json:"revision,omitempty"`
}
