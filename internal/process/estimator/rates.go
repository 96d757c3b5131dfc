package estimator

import "time"

const (
	// sampleDecay is the factor by which each new time to the first token reduces
	// the weight of the earlier ones. The estimate is based on about the last 50.
	sampleDecay = 0.98
	// averageWeight is the weight of a new gap or call in the moving averages,
	// which are based on about the last 64.
	averageWeight = 1.0 / 64
	// minRelativeVariance is the variance of the prompt lengths, relative to their
	// squared mean, up to which no slope is fitted, since it would be mostly
	// noise.
	minRelativeVariance = 0.01
)

// Rates estimates the speed of one upstream. The zero value has no
// observations, and all its estimates are zero.
type Rates struct {
	// Gap is the average time between two tokens of a run.
	Gap time.Duration
	// Call is the average duration of a run that produces no tokens.
	Call time.Duration
	// The weighted sums of a least-squares fit of the seconds to the first token
	// (y) over the prompt tokens (x), and the moving average in seconds by which
	// observations exceed the fit. An observation below the fit counts as zero.
	n, x, y, xx, xy float64
	meanOverrun     float64
}

// ObserveFirstToken records the time d from the start of a run to its first
// token, and the number of tokens that the upstream processed before it.
func (r *Rates) ObserveFirstToken(promptTokens int, d time.Duration) {
	x, y := float64(promptTokens), d.Seconds()
	if r.n > 0 {
		intercept, slope := r.fit()
		r.meanOverrun += (1 - sampleDecay) * (max(0, y-intercept-slope*x) - r.meanOverrun)
	}
	r.n = r.n*sampleDecay + 1
	r.x = r.x*sampleDecay + x
	r.y = r.y*sampleDecay + y
	r.xx = r.xx*sampleDecay + x*x
	r.xy = r.xy*sampleDecay + x*y
}

// ObserveGap records the time between two tokens, which is an average if several
// tokens arrived together.
func (r *Rates) ObserveGap(gap time.Duration) { r.Gap = movingAverage(r.Gap, gap) }

// ObserveCall records the duration of a run that produced no tokens.
func (r *Rates) ObserveCall(d time.Duration) { r.Call = movingAverage(r.Call, d) }

// PrefillTime returns the expected time to the first token of a run with the
// given number of prompt tokens, including the average overrun.
func (r *Rates) PrefillTime(promptTokens int) time.Duration {
	if r.n == 0 {
		return 0
	}
	intercept, slope := r.fit()
	return seconds(intercept + slope*float64(promptTokens) + r.meanOverrun)
}

// ServiceTime returns the expected duration of a run that processes promptTokens
// and generates answerTokens.
func (r *Rates) ServiceTime(promptTokens, answerTokens int) time.Duration {
	if r.n == 0 {
		return r.Call
	}
	return r.PrefillTime(promptTokens) + time.Duration(answerTokens)*r.Gap
}

// fit returns the intercept in seconds and the slope in seconds per prompt token
// of the fitted line. Neither is negative.
func (r *Rates) fit() (intercept, slope float64) {
	meanX, meanY := r.x/r.n, r.y/r.n
	variance := r.xx/r.n - meanX*meanX
	if variance <= minRelativeVariance*meanX*meanX {
		return meanY, 0
	}
	slope = max(0, (r.xy/r.n-meanX*meanY)/variance)
	if intercept = meanY - slope*meanX; intercept < 0 {
		return 0, meanY / meanX
	}
	return intercept, slope
}

// movingAverage returns the exponential moving average of old and value. A zero
// old means that there is no value yet.
func movingAverage(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(averageWeight*float64(value-old))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
