package executor

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// endedRetention is the time for which the state of an ended attempt is kept.
	// It is much longer than a message can be delayed on a connection.
	endedRetention = 10 * time.Minute
	// maxEndedAttempts is the maximum number of ended attempts that are kept. At
	// about 150 bytes each they use 10 MB. A plain service with 100 calls a second
	// reaches it in 11 minutes.
	maxEndedAttempts = 65536
)

// attemptState tells whether an attempt has ended on this executor, and whether
// it was run.
type attemptState int

const (
	// stateNew means that no ended attempt is recorded and none can have expired.
	stateNew attemptState = iota
	// stateNotRun means that the attempt was refused or cancelled before it ran.
	stateNotRun
	// stateRan means that the attempt was run, at least in part.
	stateRan
	// stateExpired means that the attempt may have ended so long ago that its
	// state was removed.
	stateExpired
)

// endedAttempts records the attempts that have ended, so that a delayed or
// duplicate message never runs one of them again. The zero value is empty.
type endedAttempts struct {
	// maxAttempts is maxEndedAttempts unless a test sets it.
	maxAttempts int
	states      map[scheduler.Key]attemptState
	byAge       []endedAttempt
	// latestRemoved is the latest stamp of a removed attempt. A message whose
	// stamp is not later may belong to a removed attempt.
	latestRemoved tracer.Stamp
}

type endedAttempt struct {
	key   scheduler.Key
	stamp tracer.Stamp
	at    time.Time
}

// lookup returns the state of an attempt whose message has the stamp s.
func (m *endedAttempts) lookup(k scheduler.Key, s tracer.Stamp) attemptState {
	if state := m.states[k]; state != stateNew {
		return state
	}
	if m.latestRemoved != (tracer.Stamp{}) && s.Compare(m.latestRemoved) <= 0 {
		return stateExpired
	}
	return stateNew
}

// add records the state of an ended attempt, unless one is recorded already, and
// removes the oldest attempts beyond the limits of number and time.
func (m *endedAttempts) add(now time.Time, k scheduler.Key, s tracer.Stamp, state attemptState) {
	if m.states == nil {
		m.states = map[scheduler.Key]attemptState{}
	}
	if m.maxAttempts == 0 {
		m.maxAttempts = maxEndedAttempts
	}
	if m.states[k] == stateNew {
		m.states[k] = state
		m.byAge = append(m.byAge, endedAttempt{k, s, now})
	}
	for len(m.byAge) > 0 && (len(m.byAge) > m.maxAttempts || now.Sub(m.byAge[0].at) > endedRetention) {
		old := m.byAge[0]
		m.byAge = m.byAge[1:]
		delete(m.states, old.key)
		if old.stamp.Compare(m.latestRemoved) > 0 {
			m.latestRemoved = old.stamp
		}
	}
}
