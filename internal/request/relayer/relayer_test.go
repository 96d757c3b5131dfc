package relayer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// A request that ended without any reply closed the connection of its caller, who could
// have got a failure: nothing had been written.
func TestRingClosedBeforeFirstReplyLeavesAnswerToServer(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []Reply
		kind    ErrorKind
	}{
		{"no reply", nil, ErrorNoReply},
		{"head", []Reply{{Kind: KindHead, Status: http.StatusOK, Header: http.Header{}}}, ErrorBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			replies := NewRing()
			for _, r := range c.replies {
				replies.Put(t.Context(), r)
			}
			replies.Close()
			err := Relay(t.Context(), httptest.NewRecorder(), replies, func(http.ResponseWriter, *admitter.Failure) {
				t.Fatal("Relay knows no failure")
			})
			is.New(t).True(IsKind(err, c.kind))
		})
	}
}

// A reply that is a whole answer by itself must not be written into one that has begun:
// the caller would find its text in the stream, and the stream would look complete.
func TestWholeAnswerIsNotWrittenIntoAnother(t *testing.T) {
	head := Reply{Kind: KindHead, Status: http.StatusOK, Header: http.Header{}}
	part := Reply{Kind: KindBody, Bytes: []byte("id: 1\n\n")}
	for _, c := range []struct {
		name string
		next Reply
	}{
		{"failure", Reply{Kind: KindFailed, Failure: admitter.OverloadedFailure()}},
		{"error of an upstream", Reply{Kind: KindComplete, Status: http.StatusInternalServerError, Bytes: []byte("failed")}},
		{"second head", Reply{Kind: KindHead, Status: http.StatusOK, Header: http.Header{"X-Second": {"1"}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			replies := NewRing()
			for _, r := range []Reply{head, part, c.next, {Kind: KindEnd}} {
				replies.Put(t.Context(), r)
			}
			w := httptest.NewRecorder()
			err := Relay(t.Context(), w, replies, func(w http.ResponseWriter, _ *admitter.Failure) {
				_, _ = w.Write([]byte("failed"))
			})
			is := is.New(t)
			is.True(err != nil)
			is.Equal(w.Body.String(), "id: 1\n\n")
			is.Equal(w.Header().Get("X-Second"), "")
		})
	}
}

// A reply that was written, or will not be, kept its bytes in the budget, so that later
// answers found none.
func TestRelayReleasesWhatItHasWritten(t *testing.T) {
	budget := reserver.NewBudget(100)
	account := budget.Open()
	is := is.New(t)
	is.True(account.Reserve(70))
	replies := NewLimitedRing(account)
	for _, r := range []Reply{
		{Kind: KindHead, Status: http.StatusOK, Header: http.Header{}},
		{Kind: KindBody, Bytes: []byte("id: 1\n\n"), Reserved: 30},
		{Kind: KindEnd, Reserved: 40},
	} {
		replies.Put(t.Context(), r)
	}
	is.NoErr(Relay(t.Context(), httptest.NewRecorder(), replies, nil))
	is.Equal(budget.Stats().Held, int64(0))
}
