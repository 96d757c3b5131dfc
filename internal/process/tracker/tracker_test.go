package tracker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const zone = "stowe"

func at(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }

func member(incarnation int64, s State, lastHeard int) Member {
	return Member{Identity: "b", AvailabilityZone: zone, Address: "10.0.0.2:9001", Incarnation: incarnation, State: s, LastHeard: at(lastHeard)}
}

func platformList(live ...string) Event {
	e := Event{Kind: EventListed, List: List{AvailabilityZone: zone}}
	for _, id := range live {
		e.List.Live = append(e.List.Live, VM{Identity: id, Address: "10.0.0.2:9001"})
	}
	return e
}

// step is an event at a time in seconds and the expected state of the member b
// after it.
type step struct {
	second int
	event  Event
	state  State
}

func messageFrom(m Member) Event { return Event{Kind: EventMessageReceived, Members: []Member{m}} }
func gossip(m Member) Event      { return Event{Kind: EventGossipReceived, Members: []Member{m}} }

// A member that is slow or partitioned must be distinguished from one that has
// left, or its shared tasks would be lost or run twice.
func TestMemberStates(t *testing.T) {
	tick := Event{Kind: EventTicked}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"a partitioned member is unreachable until it sends a message", []step{
			{0, messageFrom(member(1, StateLive, 0)), StateLive}, {1, platformList("b"), StateLive}, {30, tick, StateLive},
			{31, tick, StateUnreachable}, {40, platformList("b"), StateUnreachable}, {41, messageFrom(member(1, StateLive, 0)), StateLive},
		}},
		{"gossip about a member extends its timeout", []step{
			{0, messageFrom(member(1, StateLive, 0)), StateLive}, {29, gossip(member(1, StateLive, 25)), StateLive},
			{54, tick, StateLive}, {56, tick, StateUnreachable},
		}},
		{"an unreachable member off the list has left until a new incarnation", []step{
			{0, messageFrom(member(1, StateLive, 0)), StateLive}, {1, platformList("b"), StateLive}, {31, tick, StateUnreachable},
			{32, platformList(), StateLeft}, {33, gossip(member(1, StateLive, 32)), StateLeft}, {34, gossip(member(2, StateLive, 33)), StateLive},
		}},
		{"a reachable member off the list stays live", []step{
			{0, messageFrom(member(1, StateLive, 0)), StateLive}, {1, platformList("b"), StateLive}, {10, platformList(), StateLive},
		}},
		{"an unreachable member that was never listed has not left", []step{
			{0, messageFrom(member(1, StateLive, 0)), StateLive}, {31, platformList(), StateUnreachable},
		}},
		{"a member that announced that it is leaving stays leaving until its timeout and has then left", []step{
			{0, messageFrom(member(1, StateLive, 0)), StateLive}, {1, messageFrom(member(1, StateLeaving, 0)), StateLeaving},
			{2, gossip(member(1, StateLive, 0)), StateLeaving}, {32, tick, StateLeft},
		}},
		{"an old incarnation is ignored", []step{
			{0, messageFrom(member(2, StateLive, 0)), StateLive}, {1, gossip(member(1, StateLeaving, 1)), StateLive},
		}},
		{"a silent member is deleted after memberRetention", []step{{0, messageFrom(member(1, StateLive, 0)), StateLive}, {3601, tick, ""}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertSteps(t, c.steps)
		})
	}
}

// The number of members of a remote zone must stay bounded, and a new live member
// must replace an unreachable one.
func TestRemoteMembersAreBounded(t *testing.T) {
	is := is.New(t)
	tr := New("a", "pinkham")
	for i := range 2 * MaxMembersPerRemoteZone {
		m := member(1, StateLive, 0)
		m.Identity = string(rune('b' + i))
		tr.Step(at(0), messageFrom(m))
	}
	is.Equal(len(tr.Members), MaxMembersPerRemoteZone)
	tr.Step(at(121), Event{Kind: EventTicked})
	is.Equal(len(tr.Live("")), 0)
	m := member(1, StateLive, 121)
	m.Identity = "z"
	tr.Step(at(121), messageFrom(m))
	is.Equal(len(tr.Live("")), 1)
	is.Equal(len(tr.Members), MaxMembersPerRemoteZone)
}

func assertSteps(t *testing.T, steps []step) {
	t.Helper()
	tr := New("a", zone)
	var last State
	for _, s := range steps {
		actions := tr.Step(at(s.second), s.event)
		is.New(t).Equal(tr.Members["b"].State, s.state)
		is.New(t).Equal(len(actions) > 0, s.state != last && s.state != "")
		last = s.state
	}
}

// Entries that receive messages from a large zone in different orders must have the
// same owner candidates, or a limit would be divided more than once.
func TestOwnerCandidatesAgree(t *testing.T) {
	t.Run("the order of messages makes no difference", func(t *testing.T) {
		first, second := New("a", "pinkham"), New("a", "pinkham")
		for i := range 40 {
			first.Step(at(0), messageFrom(numberedMember(i)))
			second.Step(at(0), messageFrom(numberedMember(39-i)))
		}
		is.New(t).Equal(first.OwnerCandidates(), second.OwnerCandidates())
	})
	t.Run("a remote entry knows all candidates of the zone itself", func(t *testing.T) {
		inside := New("entry-0", zone)
		outside := New("a", "pinkham")
		for i := range 40 {
			inside.Step(at(0), messageFrom(numberedMember(i)))
			outside.Step(at(0), messageFrom(numberedMember(i)))
		}
		assertContainsAll(t, outside.OwnerCandidates(), inside.OwnerCandidates())
	})
	t.Run("the estimate of entries includes this process", func(t *testing.T) {
		tr := New("a", zone)
		for i := range 9 {
			tr.Step(at(0), messageFrom(numberedMember(i)))
		}
		is.New(t).Equal(tr.EstimateEntries(), 10)
	})
}

// numberedMember returns a live member with the identity entry-i.
func numberedMember(i int) Member {
	m := member(1, StateLive, 0)
	m.Identity = fmt.Sprint("entry-", i)
	return m
}

// assertContainsAll checks that all contains each element of some.
func assertContainsAll(t *testing.T, all, some []string) {
	t.Helper()
	for _, name := range some {
		is.New(t).True(slices.Contains(all, name))
	}
}
