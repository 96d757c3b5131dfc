package starter

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
)

// An entry of the own front end that started did not know which content had crashed
// engines, and sent it to the next ones.
func TestStartedEntryKnowsContentThatCrashesEngines(t *testing.T) {
	s := newSystem(t, 4, 1)
	is := is.New(t)
	is.Equal(s.sendPrompt(0, "poison", nil).status, http.StatusUnprocessableEntity)
	started := s.startEntry("entry-2")
	assertEventually(t, "the entry has learned the strikes", func() bool {
		known := make(chan int, 1)
		started.router.FetchStrikes(func(strikes []detector.Strike) { known <- len(strikes) })
		return <-known >= detector.MaxStrikes
	})
	refused := s.sendPrompt(1, "poison", nil)
	is.Equal(refused.status, http.StatusUnprocessableEntity)
	is.Equal(refused.outcome, "not_run")
}
