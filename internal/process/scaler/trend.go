package scaler

import (
	"slices"
	"time"
)

const (
	// minTrendWindow and maxTrendWindow bound the time over which the trend is measured,
	// which is otherwise the start-up time.
	minTrendWindow = 5 * time.Second
	maxTrendWindow = time.Minute
	// trendSamples is the number of samples in the window, and minTrendSamples the number
	// from which there is a trend.
	trendSamples    = 20
	minTrendSamples = 6
	// minRisingShare is the share of the pairs of samples that must rise for a trend.
	// Half of them do if the demand does not change, and up to three quarters if it has
	// taken one step.
	minRisingShare = 0.8
	// maxTrendGrowth is the maximum ratio of the forecast to the present demand.
	maxTrendGrowth = 2
)

// trend forecasts the needed upstreams of a service from the last samples. The zero
// value has none.
type trend struct {
	samples []sample
}

type sample struct {
	at   time.Time
	need float64
}

// forecast adds a sample and returns the needed upstreams after the time ahead, at least
// the present ones.
//
// The slope is the median of the slopes of all pairs of samples (Theil-Sen estimator). It
// follows a ramp or the rise of a wave, but unlike a least-squares fit it is zero after a
// step, which must not be extrapolated.
func (t *trend) forecast(now time.Time, need float64, ahead time.Duration) float64 {
	window := min(max(ahead, minTrendWindow), maxTrendWindow)
	t.add(now, need, window)
	if len(t.samples) < minTrendSamples {
		return need
	}
	slopes := t.slopes()
	rising := len(slopes) - upperBound(slopes, 0)
	if float64(rising) < minRisingShare*float64(len(slopes)) {
		return need
	}
	median := slopes[len(slopes)/2]
	return min(need+median*ahead.Seconds(), maxTrendGrowth*need)
}

// add adds a sample if the last one is old enough, and removes those before the window.
func (t *trend) add(now time.Time, need float64, window time.Duration) {
	n := len(t.samples)
	if n > 0 && now.Sub(t.samples[n-1].at) < window/trendSamples {
		return
	}
	t.samples = append(t.samples, sample{now, need})
	old := 0
	for old < len(t.samples) && now.Sub(t.samples[old].at) > window {
		old++
	}
	t.samples = slices.Delete(t.samples, 0, old)
}

// slopes returns the slopes of all pairs of samples, per second, in ascending order.
func (t *trend) slopes() []float64 {
	out := make([]float64, 0, len(t.samples)*(len(t.samples)-1)/2)
	for i, a := range t.samples {
		for _, b := range t.samples[i+1:] {
			out = append(out, (b.need-a.need)/b.at.Sub(a.at).Seconds())
		}
	}
	slices.Sort(out)
	return out
}

// upperBound returns the number of values in sorted that are at most limit.
func upperBound(sorted []float64, limit float64) int {
	n, _ := slices.BinarySearchFunc(sorted, limit, func(v, limit float64) int {
		if v <= limit {
			return -1
		}
		return 1
	})
	return n
}
