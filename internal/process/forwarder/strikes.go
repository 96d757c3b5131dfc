package forwarder

import "magnoliafront.dev/magnoliafront/internal/process/detector"

// ReceiveStrikes adds strikes that another entry sent.
func (f *Forwarder) ReceiveStrikes(strikes []detector.Strike) {
	f.put(event{kind: eventStrikesReceived, strikes: strikes})
}

// LearnStrikes adds the active strikes that another entry knows, after the start. They
// are complete unless that entry has just started, too.
func (f *Forwarder) LearnStrikes(strikes []detector.Strike, complete bool) {
	f.put(event{kind: eventStrikesLearned, strikes: strikes, complete: complete})
}

// FetchStrikes calls reply with the active strikes that this entry knows. They are
// complete once it has learned those of the others. The call must not block.
func (f *Forwarder) FetchStrikes(reply func(strikes []detector.Strike, complete bool)) {
	f.put(event{kind: eventStrikesFetched, reply: reply})
}

// publishStrikesLearned updates State.StrikesLearned.
func (f *Forwarder) publishStrikesLearned() {
	s, learned := f.State(), f.dispatcher.StrikesLearned()
	if s.StrikesLearned != learned {
		s.StrikesLearned = learned
		f.state.Store(&s)
	}
}
