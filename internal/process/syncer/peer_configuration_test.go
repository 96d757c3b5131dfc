package syncer

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// An entry of older software does not tell whether a configuration without organisations
// admits everybody or nobody.
func TestPeerConfigurationWithoutKeyPolicyIsAmbiguous(t *testing.T) {
	guides := []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}}
	for _, c := range []struct {
		name    string
		peer    matcher.Configuration
		version int64
	}{
		{"not stated, no organisations", matcher.Configuration{Version: 7}, 1},
		{"not stated, organisations", matcher.Configuration{Version: 7, Organisations: guides}, 7},
		{"required, no organisations", matcher.Configuration{Version: 7, Keys: matcher.KeysRequired}, 7},
		{"optional, no organisations", matcher.Configuration{Version: 7, Keys: matcher.KeysOptional}, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newOutageFixture(t)
			f.configure()
			// The forwarder applies the list after the configuration.
			listed := []registrar.Upstream{{Name: "desk-1", Service: "desk"}}
			f.syncer.input.Put(t.Context(), input{state: &State{Configuration: &c.peer, Synced: true, Upstreams: listed}, peer: "entry-2"})
			f.awaitEligible(1)
			is.New(t).Equal(f.forwarder.State().Table.Configuration.Version, c.version)
		})
	}
}

// A state without a list of upstreams was taken for an empty list, so that an entry out of
// reach of the platform dropped all upstreams.
func TestPeerStateWithoutListKeepsUpstreams(t *testing.T) {
	for _, c := range []struct {
		name, state string
		eligible    int
	}{
		{"no list", `{"synced":true,"configuration":{"version":7,"keys":"optional"}}`, 1},
		{"null", `{"synced":true,"upstreams":null,"configuration":{"version":7,"keys":"optional"}}`, 1},
		{"empty list", `{"synced":true,"upstreams":[],"configuration":{"version":7,"keys":"optional"}}`, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newOutageFixture(t)
			f.learn(`{"synced":true,"upstreams":[{"name":"desk-1","service":"desk"}]}`)
			f.awaitEligible(1)
			f.learn(c.state)
			f.learn(`{"configuration":{"version":8,"keys":"optional"}}`)
			f.awaitVersion(8)
			is.New(t).Equal(f.forwarder.State().EligibleCount, c.eligible)
		})
	}
}

// learn handles the state of another entry.
func (f *outageFixture) learn(text string) {
	f.t.Helper()
	var s State
	is.New(f.t).NoErr(json.Unmarshal([]byte(text), &s))
	f.syncer.input.Put(f.t.Context(), input{state: &s, peer: "entry-2"})
}
