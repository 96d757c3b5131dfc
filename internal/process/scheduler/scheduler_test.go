package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// assertScript sends the scheduler one event for each line of script and compares
// the actions with the text after the arrow. A line without an arrow expects no
// actions. The commands are "submit run class tier", "tokens run n", "end run"
// and "tick", followed by options of the form name=value.
func assertScript[P Policy](t *testing.T, c Capacity, script string) {
	t.Helper()
	var s Scheduler[P]
	now := time.Unix(1000, 0)
	s.Step(now, Event{Kind: EventConfigured, Capacity: c})
	for line := range strings.Lines(script) {
		command, want, _ := strings.Cut(strings.TrimSpace(line), " -> ")
		if command == "" {
			continue
		}
		var e Event
		e, now = parse(t, command, now)
		if got := strings.Join(describe(s.Step(now, e)), ", "); got != want {
			t.Errorf("%s: got %q, want %q", command, got, want)
		}
	}
}

// parse returns the event of a command and its time. The option "after" adds to
// now.
func parse(t *testing.T, command string, now time.Time) (Event, time.Time) {
	t.Helper()
	words := strings.Fields(command)
	e := Event{Run: Run{ExpectedTokens: 10}, Key: Key{Attempt: 1}}
	for i, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if !ok {
			if i == 1 {
				e.Key.Request = w
			}
			continue
		}
		d, _ := time.ParseDuration(value)
		switch name {
		case "after":
			now = now.Add(d)
		case "first":
			e.Run.FirstTokenBy = now.Add(d)
		case "org":
			e.Run.Organisation = value
		case "expect":
			e.Run.ExpectedTokens, _ = strconv.Atoi(value)
		case "prompt":
			e.Run.PromptTokens, _ = strconv.Atoi(value)
		case "from":
			e.Run.ResumeFrom, _ = strconv.Atoi(value)
		case "once":
			e.Run.NotPreemptible = true
		}
	}
	e.Kind = map[string]EventKind{"submit": EventSubmitted, "tokens": EventAdvanced, "end": EventEnded, "tick": EventTicked}[words[0]]
	switch e.Kind {
	case EventSubmitted:
		e.Run.Key, e.Run.Class, e.Run.Arrived = e.Key, words[2], now
		e.Run.Tier, _ = strconv.Atoi(words[3])
	case EventAdvanced:
		e.Tokens, _ = strconv.Atoi(words[2])
	}
	return e, now
}

// describe returns a text for each action, such as "preempt low tier for high
// from 7": its kind, run, reason, cause and resume position.
func describe(actions []Action) []string {
	var all []string
	for _, a := range actions {
		kind := [...]string{"start", "preempt", "shed", "return", "stop"}[a.Kind]
		words := []string{kind, a.Key.Request, string(a.Reason)}
		if a.Cause.Request != "" {
			words = append(words, "for", a.Cause.Request)
		}
		if a.ResumeFrom > 0 {
			words = append(words, "from", strconv.Itoa(a.ResumeFrom))
		}
		words = slices.DeleteFunc(words, func(w string) bool { return w == "" })
		all = append(all, strings.Join(words, " "))
	}
	return all
}

// TestStepActions checks each scheduling rule with a short script.
func TestStepActions(t *testing.T) {
	one, short := Capacity{Slots: 1}, Capacity{Slots: 1, QueueLimit: 1}
	for _, c := range []struct {
		name     string
		capacity Capacity
		script   string
	}{
		{"higher tiers start first and a repeated or unknown event has no effect", one, `
			submit first other 5 -> start first
			submit first other 5
			submit low low 5
			submit high high 2
			end unknown
			end first -> start high
			end high -> start low`},
		{"the class with the earliest deadline starts first within a tier", one, `
			submit busy other 2 -> start busy
			submit none a 2
			submit late b 2 first=8s
			submit soon c 2 first=4s
			end busy -> start soon
			end soon -> start late
			end late -> start none`},
		{"runs without tokens alternate between organisations", one, `
			submit a0 chat 3 org=a -> start a0
			submit a1 chat 3 org=a
			submit b0 chat 3 org=b
			end a0 -> start b0
			end b0 -> start a1`},
		{"an organisation with long answers gets fewer starts", one, `
			submit long0 chat 3 org=long expect=100 -> start long0
			submit long1 chat 3 org=long expect=100
			submit short0 chat 3 org=short expect=60
			submit short1 chat 3 org=short expect=60
			submit short2 chat 3 org=short expect=60
			tokens long0 100 after=1s
			end long0 -> start short0
			tokens short0 60 after=1s
			end short0 -> start short1
			tokens short1 60 after=1s
			end short1 -> start long1`},
		{"an idle organisation accumulates no credit", one, `
			submit a0 chat 3 org=a -> start a0
			submit a1 chat 3 org=a
			submit a2 chat 3 org=a
			tokens a0 10 after=1s
			end a0 -> start a1
			submit b0 chat 3 org=b
			submit b1 chat 3 org=b
			tokens a1 10 after=1s
			end a1 -> start b0
			tokens b0 10 after=1s
			end b0 -> start a2`},
		{"a run preempts preemptLead before its latest start and the preempted run resumes", one, `
			submit low batch 8 -> start low
			tokens low 7 after=100ms
			submit high class 1 first=1s
			tick after=799ms
			tick after=1ms -> preempt low tier for high from 7, start high
			end high -> start low from 7`},
		{"runs of the same tier and runs that are not preemptible are not preempted", one, `
			submit low batch 3 -> start low
			submit late class 3 first=1s
			tick after=2s -> shed late deadline
			end low
			submit payment pay 8 once=true -> start payment
			submit high class 1 first=1050ms
			tick after=2s -> shed high deadline`},
		{"a run with tokens is returned when the queue is full", short, `
			submit first class 3 -> start first
			submit second class 3
			submit resumed class 3 from=5 -> return resumed queue_full from 5`},
		{"the overdue class that has waited longest gets the floor run", one, `
			submit first urgent 1 -> start first
			submit b b 8
			submit a a 8 after=1s
			submit c c 2
			submit next urgent 1
			tick after=8s
			end first -> start next
			submit last urgent 1
			tick after=1s
			end next -> start b
			submit now urgent 1 after=1s first=1s -> shed now deadline
			end b after=2s -> start a
			end a -> start c
			end c -> start last`},
		{"free capacity is reserved for a floor run that waits for KV cache", Capacity{Slots: 4, KVTokens: 100}, `
			submit low a 8 prompt=30 expect=1 -> start low
			submit mid b 5 prompt=40 expect=1 -> start mid
			submit big c 8 prompt=60 expect=1
			submit high d 1 prompt=20 expect=1 after=10s first=1s
			tick after=950ms -> preempt low tier for high, start high
			end mid -> start big`},
		{"a full queue of one class does not affect another class", short, `
			submit a0 a 3 -> start a0
			submit a1 a 3
			submit a2 a 3 -> shed a2 queue_full
			submit b0 b 3`},
		{"a run is shed at once if the expected wait exceeds its target", one, `
			submit busy class 3 -> start busy
			tokens busy 1 after=100ms
			tokens busy 1 after=1s
			submit hopeful class 3 first=20s
			submit hopeless class 3 first=5s -> shed hopeless deadline`},
		{"a run without a target is never shed for waiting", one, `
			submit first batch 3 -> start first
			submit second batch 3
			tick after=1h`},
		{"a run starts on an idle upstream in spite of a long estimate", one, `
			submit slow class 3 -> start slow
			tokens slow 1 after=1h
			end slow
			submit next class 3 first=1s -> start next`},
		{"the lowest tier is preempted when the KV cache is full", Capacity{Slots: 4, KVTokens: 100}, `
			submit huge a 1 prompt=100 -> shed huge too_large
			submit low a 8 prompt=40 -> start low
			submit high b 1 prompt=30 -> start high
			submit more b 1 prompt=40
			tokens high 31 after=1s -> preempt low cache_full
			end high -> start more, start low
			end more
			end low
			submit grown a 1 prompt=90 -> start grown
			tokens grown 11 after=1s -> return grown too_large from 11`},
	} {
		t.Run(c.name, func(t *testing.T) { assertScript[Tiered](t, c.capacity, c.script) })
	}
	t.Run("FirstInFirstOut ignores tiers", func(t *testing.T) {
		assertScript[FirstInFirstOut](t, one, `
			submit first other 5 -> start first
			submit low low 5
			submit high high 2 after=1ms
			end first -> start low`)
	})
}

// TestSlotsFollowTokenGap checks that the limit of active runs adapts to the
// measured gap between tokens and does not oscillate.
func TestSlotsFollowTokenGap(t *testing.T) {
	const target = 30 * time.Millisecond
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s Scheduler[Tiered]
	s.Step(now, Event{Kind: EventConfigured, Capacity: Capacity{Slots: 16}})
	for i := range 32 {
		s.Step(now, Event{Kind: EventSubmitted, Run: Run{Key: Key{Request: fmt.Sprint(i)}, TokenGapTarget: target}})
	}
	generate := func(gap time.Duration, rounds int) int {
		for range rounds {
			now = now.Add(gap)
			for i := range 16 {
				s.Step(now, Event{Kind: EventAdvanced, Key: Key{Request: fmt.Sprint(i)}, Tokens: 1})
			}
		}
		return s.Load().Slots
	}
	is.Equal(generate(target*95/100, 1000), 16) // steady near the target
	is.True(generate(2*target, 100) < 16)
	reduced := generate(target/2, 70) // ends the interval that began with long gaps
	is.Equal(generate(target/2, 130), reduced)
	is.Equal(generate(target/2, 100), reduced+1)

	// The few gaps of a single run must suffice to raise the limit again.
	l := adaptiveLimit{limit: 1, maximum: 16}
	for range 500 {
		now = now.Add(35 * time.Millisecond)
		l.observeGap(35*time.Millisecond, 50*time.Millisecond, 1)
		l.adapt(now, 1)
	}
	is.True(l.limit > 1)
}

// TestLoadIsSmallAndSkipsPreemptibleRuns checks that the encoded load, which is
// part of most messages, is small, and that the expected wait of a tier does not
// count runs that it may preempt.
func TestLoadIsSmallAndSkipsPreemptibleRuns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s Scheduler[Tiered]
	s.Step(now, Event{Kind: EventConfigured, Capacity: Capacity{Slots: 1}})
	for i := range 100 {
		s.Step(now, Event{Kind: EventSubmitted, Run: Run{Key: Key{Attempt: i}, Tier: 3}})
	}
	for i := range 3 {
		s.Step(now.Add(time.Duration(i)*time.Second), Event{Kind: EventAdvanced, Tokens: 1})
	}
	l := s.Load()
	is.Equal(l.ExpectedWait[1], 0)
	is.True(l.ExpectedWait[2] > 99*1000)
	data, err := json.Marshal(l)
	is.NoErr(err)
	is.True(len(data) <= 150)
}
