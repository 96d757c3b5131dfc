package messenger

import (
	"encoding/json"

	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// Exchange is a gossip message. It reports the revision of the records that the
// sender has applied and the entries that it knows. It is a notification; Ask
// requests an Exchange in return.
type Exchange struct {
	Stamp tracer.Stamp `json:"stamp"`
	Ask   bool         `json:"ask,omitempty"`
	// Address and Incarnation describe the sending entry. An agent leaves both
	// empty.
	Address     string `json:"address,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	// Primary is set by an agent in its messages to the one entry that reports
	// the agent's state.
	Primary  bool  `json:"primary,omitempty"`
	Revision int64 `json:"revision"`
	// Members lists the state of some entries. If the sender is an entry, its own
	// state comes first.
	Members []Member `json:"members,omitempty"`
}

// Member is the gossiped state of one entry.
type Member struct {
	Identity string `json:"identity"`
	// AvailabilityZone is omitted if it equals the sender's.
	AvailabilityZone string `json:"availability_zone,omitempty"`
	Address          string `json:"address"`
	// Incarnation is the start time of the process in milliseconds.
	Incarnation int64 `json:"incarnation"`
	// State is omitted for a live member.
	State    string `json:"state,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	// AgeMS is the time in milliseconds since an entry last received a message
	// from this member.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Agents is the number of agents that report to the entry, AgentsBehind the
	// number of agents with an older revision than the entry, and AgentBehind the
	// name of one of these.
	Agents       int    `json:"agents,omitempty"`
	AgentsBehind int    `json:"agents_behind,omitempty"`
	AgentBehind  string `json:"agent_behind,omitempty"`
}

// FetchRecords requests the records that changed after a revision.
type FetchRecords struct {
	// From is the revision of the sender's records.
	From int64 `json:"from"`
	// Buckets lists the requested buckets if the sender cannot apply a delta.
	Buckets []int `json:"buckets,omitempty"`
}

// Records is the response to [FetchRecords]. It holds either a delta, or the
// hashes of all buckets and the contents of some.
type Records struct {
	Revision int64                   `json:"revision"`
	Delta    *cataloger.Delta        `json:"delta,omitempty"`
	Hashes   []string                `json:"hashes,omitempty"`
	Buckets  map[int]json.RawMessage `json:"buckets,omitempty"`
}
