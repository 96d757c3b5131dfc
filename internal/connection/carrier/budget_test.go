package carrier

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// callWithin sends a request to the upstream with a budget of limit bytes for all answers.
// It returns the report, the bytes that were relayed and the bytes that are still reserved
// once they were written.
func callWithin(t *testing.T, u *rawUpstream, limit int64, change func(*Call)) (Report, []relayer.Reply, int64) {
	t.Helper()
	budget := reserver.NewBudget(limit)
	account := budget.Open()
	r, replies := u.call(t, func(c *Call) {
		c.Replies = relayer.NewLimitedRing(account)
		if change != nil {
			change(c)
		}
	})
	for _, reply := range replies {
		account.Release(reply.Reserved)
	}
	return r, replies, budget.Stats().Held
}

func joinBytes(replies []relayer.Reply) string {
	var b strings.Builder
	for _, r := range replies {
		b.Write(r.Bytes)
	}
	return b.String()
}

// With a budget that other answers have used up, a sound answer must be relayed as it
// arrives, and what cannot be relayed yet must end as lost: it may have run.
func TestAnswerWithoutBudgetIsRelayedAsItArrives(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	answer := func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	large := strings.Repeat("x", 60_000)
	events := strings.Repeat("data: "+strings.Repeat("x", 2500)+"\n\n", 40)
	var lines strings.Builder
	for i := range 100 {
		fmt.Fprintf(&lines, "A%d:\r\n", i)
	}
	for _, c := range []struct {
		name, response, body string
		stream               bool
		limit                int64
		kind                 relayer.Kind
	}{
		{"small body", answer("HTTP/1.1 200 OK\r\n", "ok"), "ok", false, 0, relayer.KindComplete},
		{"large body", answer("HTTP/1.1 200 OK\r\n", large), large, false, 0, relayer.KindHead},
		{"large body within the budget", answer("HTTP/1.1 200 OK\r\n", large), large, false, 1 << 20, relayer.KindComplete},
		{"stream of small events", answer(stream, events), events, true, 0, relayer.KindHead},
		{"large event within the budget", answer(stream, large+"\n\n"), large + "\n\n", true, 1 << 20, relayer.KindHead},
		{"large head within the budget", answer("HTTP/1.1 200 OK\r\n"+lines.String(), "ok"), "ok", false, 1 << 20, relayer.KindComplete},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newClosingUpstream(t, c.response)
			r, replies, held := callWithin(t, u, c.limit, func(x *Call) { x.Stream = c.stream })
			is := is.New(t)
			is.Equal(r.Outcome, OutcomeAnswered)
			is.Equal(replies[0].Kind, c.kind)
			is.Equal(joinBytes(replies), c.body)
			is.Equal(held, int64(0))
		})
	}
	for _, c := range []struct {
		name, response string
		stream         bool
	}{
		{"large event", answer(stream, large+"\n\n"), true},
		{"large head", answer("HTTP/1.1 200 OK\r\n"+lines.String(), "ok"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, c.response, "", 0)
			r, replies, held := callWithin(t, u, 0, func(x *Call) { x.Stream = c.stream })
			assertLost(t, u, r, replies)
			is := is.New(t)
			is.True(errors.Is(r.Err, errNoMemory))
			is.Equal(held, int64(0))
		})
	}
}

// Many short lines of a head took up to fifty times their bytes in memory.
func TestHeadOfManyLinesEndsCall(t *testing.T) {
	var lines strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&lines, "A%d:\r\n", i)
	}
	for _, c := range []struct{ name, head string }{
		{"in several reads", lines.String()},
		{"in one read", strings.Repeat("A:\r\n", 700)},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, "HTTP/1.1 200 OK\r\n"+c.head+"Content-Length: 2\r\n\r\nok", "", 0)
			r, replies := u.call(t, nil)
			assertLost(t, u, r, replies)
			is.New(t).True(errors.Is(r.Err, errHeadTooLarge))
		})
	}
}

// What was reserved for an answer that is not relayed must come back.
func TestCallThatRelaysNothingReleasesItsReservations(t *testing.T) {
	body := strings.Repeat("x", 60_000)
	t.Run("body that breaks off", func(t *testing.T) {
		u := newClosingUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"+body)
		r, replies, held := callWithin(t, u, 1<<20, nil)
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeLost)
		is.Equal(len(replies), 0)
		is.Equal(held, int64(0))
	})
	t.Run("error response", func(t *testing.T) {
		u := newClosingUpstream(t, "HTTP/1.1 500 Failed\r\nContent-Length: 60000\r\n\r\n"+body)
		r, _, held := callWithin(t, u, 1<<20, nil)
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeFailed)
		// The owner of the report has it.
		is.Equal(held, int64(r.ErrorResponse.Reserved))
		is.True(held >= int64(len(body)-reserver.ShareBytes))
	})
}
