package estimator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestQuantileUsesNarrowestGroupWithRecentAnswers checks that an estimate falls
// back to the class and the default, and follows recent answers.
func TestQuantileUsesNarrowestGroupWithRecentAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(2 * time.Hour)
	a, b := Key{Class: "chat", Organisation: "a"}, Key{Class: "chat", Organisation: "b"}
	var l Lengths
	observe := func(now time.Time, k Key, tokens, times int) {
		for range times {
			l.Observe(now, k, tokens)
		}
	}
	is.New(t).Equal(l.Quantile(now, a, 0.5), DefaultTokens)
	observe(now, b, 1000, 100)
	assertNear(t, "group without answers uses its class", l.Quantile(now, a, 0.5), 1000)
	observe(now, a, 20, 90)
	observe(now, a, 2000, 10)
	assertNear(t, "median of the first group", l.Quantile(now, a, 0.5), 20)
	assertNear(t, "median of the second group", l.Quantile(now, b, 0.5), 1000)
	assertNear(t, "95th percentile of the first group", l.Quantile(now, a, 0.95), 2000)
	is.New(t).Equal(l.Quantile(later, a, 0.5), DefaultTokens)
	observe(later, b, 50, 10)
	assertNear(t, "median after a change of the lengths", l.Quantile(later, b, 0.5), 50)
}

// TestLengthsBoundsGroups checks that the number of groups stays bounded for any
// number of organisations.
func TestLengthsBoundsGroups(t *testing.T) {
	var l Lengths
	now := time.Unix(0, 0)
	for i := range 3 * maxGroups {
		l.Observe(now, Key{Class: "chat", Organisation: fmt.Sprint(i)}, 10)
	}
	is.New(t).Equal(l.Groups(), maxGroups)
}

// TestPrefillTimeFollowsPromptAndSpeed checks that the estimated time to the
// first token follows the length of the prompt and a change of speed.
func TestPrefillTimeFollowsPromptAndSpeed(t *testing.T) {
	prefill := func(promptTokens, microsecondsPerToken int) time.Duration {
		return 20*time.Millisecond + time.Duration(promptTokens)*time.Duration(microsecondsPerToken)*time.Microsecond
	}
	var r Rates
	is.New(t).Equal(r.PrefillTime(1000), time.Duration(0))
	for _, d := range []int{100, 1000} {
		for i := range 1000 {
			r.ObserveFirstToken(100+37*(i%50), prefill(100+37*(i%50), d))
		}
		for _, p := range []int{1000, 5000} {
			assertNear(t, fmt.Sprint(p, " tokens"), int(r.PrefillTime(p)), int(prefill(p, d)))
		}
	}
	var same Rates
	same.ObserveFirstToken(500, time.Second)
	same.ObserveFirstToken(500, time.Second)
	assertNear(t, "prompts of equal length", int(same.PrefillTime(900)), int(time.Second))
}

// assertNear checks that got differs from want by at most the width of a bucket.
func assertNear(t *testing.T, label string, got, want int) {
	t.Helper()
	if float64(got) < 0.84*float64(want) || float64(got) > 1.19*float64(want) {
		t.Errorf("%s: got %d, want about %d", label, got, want)
	}
}
