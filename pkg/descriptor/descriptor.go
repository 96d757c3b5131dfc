// Package descriptor defines the configuration records that operators apply, and
// their JSON encoding.
//
// There are three kinds. A [Class] declares the latency targets and the tier
// of a group of requests. An [Organisation] declares a customer with the hashes
// of its API keys, its default class and its limits. An [Upstream] declares one
// runner, which is a model engine or a plain service, and the agent beside it.
//
// A record is encoded as a flat JSON object with a schema version, a kind and a
// name. In memory every record has the latest schema. [Decode] converts from
// older schema versions and [EncodeVersion] converts to them, so that clients of
// both versions can be used at the same time.
//
// # Usage
//
//	r, err := descriptor.Decode(data)
//	if err != nil {
//		// the error has the path of the field and the expected value
//	}
//	if r.Class != nil {
//		fmt.Println(r.Name, r.Class.Tier)
//	}
package descriptor

import (
	"time"
)

// SchemaVersion is the latest schema version of all kinds.
const SchemaVersion = 2

// Tiers is the number of service tiers. Tier 1 is the most urgent.
const Tiers = 8

// Kind is the kind of a [Record].
type Kind string

// The kinds of records.
const (
	KindClass        Kind = "class"
	KindOrganisation Kind = "organisation"
	KindUpstream     Kind = "upstream"
)

// Record is one configuration record. Exactly one of Class, Organisation and
// Upstream is set, according to Kind.
type Record struct {
	// SchemaVersion is the schema version from which the record was decoded.
	SchemaVersion int
	Kind          Kind
	Name          string
	Class         *Class
	Organisation  *Organisation
	Upstream      *Upstream
}

// Key identifies a record among all records.
type Key struct {
	Kind Kind
	Name string
}

// Key returns the key of r.
func (r Record) Key() Key { return Key{Kind: r.Kind, Name: r.Name} }

// Class is a group of requests with the same targets.
type Class struct {
	// Tier is 1 for the most urgent requests and up to [Tiers].
	Tier int
	// FirstTokenTarget and TokenGapTarget are the targets of streamed answers.
	// Zero means no target.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// AnswerTarget is the target for the whole answer. Zero means no target.
	AnswerTarget time.Duration
	// Repeatable is false for requests with side effects that must happen at
	// most once.
	Repeatable bool
}

// Organisation is a customer whose applications send requests.
type Organisation struct {
	// KeyHashes are the SHA-256 hashes of its API keys, in hexadecimal digits.
	KeyHashes    []string
	DefaultClass string
	// Classes lists the classes that it may use beside the default class. Nil, as for a
	// record without the list, means all. An empty list means none.
	Classes []string
	// RequestRate is the limit of its requests per second over all entries. Zero
	// means no limit.
	RequestRate float64
	// Concurrency is the limit of its requests in flight over all entries. Zero
	// means no limit.
	Concurrency int
}

// UpstreamType selects the protocol that is used with an upstream.
type UpstreamType string

// The types of upstreams.
const (
	TypeEngine  UpstreamType = "engine"
	TypeService UpstreamType = "service"
)

// Upstream is one runner and the agent beside it.
type Upstream struct {
	Service string
	Type    UpstreamType
	// Address is the IP address and port of the agent.
	Address          string
	AvailabilityZone string
	Models           []string
	Adapters         []string
	// Slots is the number of requests that it can run concurrently within their
	// latency targets.
	Slots int
	// KVTokens is the size of its KV cache in tokens.
	KVTokens int
	// ChecksFencing is true if the engine itself rejects orders with a stale
	// fencing token.
	ChecksFencing bool
	// Repeatable is true for a plain service whose calls may all be repeated,
	// regardless of the class.
	Repeatable bool
}
