package separator

const (
	// defaultSecondsPerToken is the prefill time of a prompt token until answers show
	// it. Engines prefill about 50 to 200 tokens per millisecond.
	defaultSecondsPerToken = 7e-6
	// fitDecay is the factor by which older observations lose weight with each new
	// one.
	fitDecay = 0.98
	// longTimeWeight is the weight of an observation above the fit, while one below it
	// has the weight one. Prompts of other entries, of which this one has not heard
	// yet, only lengthen the time.
	longTimeWeight = 0.2
	// minFitObservations is the number of observations from which the fit is used.
	minFitObservations = 8
	// minFitSpread is the minimum standard deviation of the prompt lengths, as a share
	// of their mean, with which the fit is used.
	minFitSpread = 0.2
	// maxObservations bounds the number of observations of one entry. It is the limit
	// 1/(1-fitDecay) of the weights with room for rounding.
	maxObservations = 1.01 / (1 - fitDecay)
	// maxPrefillSum bounds each sum of [Prefill]. It allows for maxObservations of
	// prompts of a million tokens.
	maxPrefillSum = 1e14
	// maxSecondsPerToken bounds the result of the fit. With larger ones the expected time
	// for a long prompt would overflow a [time.Duration].
	maxSecondsPerToken = 0.1
)

// Prefill holds the weighted sums of observations from which the prefill time of a prompt
// token is estimated by a linear fit (least squares) of the time to the first event over
// the length of the prompt. The part of the time that does not depend on the prompt, such
// as the network, does not count. The sums of several entries add up to those of all
// their observations. The zero value knows no observation.
type Prefill struct {
	// N is the number of observations. X and Y are the sums of the tokens and of the times
	// in seconds, XX and XY those of the squares of the tokens and of the products.
	N, X, Y, XX, XY float64
}

// Add adds the observations of another entry.
func (m *Prefill) Add(o Prefill) {
	m.N += o.N
	m.X += o.X
	m.Y += o.Y
	m.XX += o.XX
	m.XY += o.XY
}

// IsValid reports whether the sums can be those of the observations of one entry. A message of another
// entry may hold anything.
func (m *Prefill) IsValid() bool {
	for _, sum := range []float64{m.N, m.X, m.Y, m.XX, m.XY} {
		if !(sum >= 0 && sum <= maxPrefillSum) {
			return false
		}
	}
	return m.N <= maxObservations
}

// observe records the time in seconds to the first event after a prompt of the given
// number of tokens.
func (m *Prefill) observe(tokens, seconds float64) {
	weight := 1.0
	if m.N > 0 && seconds > m.Y/m.N+m.secondsPerToken()*(tokens-m.X/m.N) {
		weight = longTimeWeight
	}
	m.N = fitDecay*m.N + weight
	m.X = fitDecay*m.X + weight*tokens
	m.Y = fitDecay*m.Y + weight*seconds
	m.XX = fitDecay*m.XX + weight*tokens*tokens
	m.XY = fitDecay*m.XY + weight*tokens*seconds
}

// secondsPerToken returns the slope of the fit, or the default if the observations
// do not show it.
func (m *Prefill) secondsPerToken() float64 {
	if m.N < minFitObservations {
		return defaultSecondsPerToken
	}
	mean := m.X / m.N
	variance := m.XX/m.N - mean*mean
	slope := (m.XY/m.N - mean*m.Y/m.N) / max(variance, 1)
	if variance < minFitSpread*minFitSpread*mean*mean || !(slope > 0 && slope <= maxSecondsPerToken) {
		return defaultSecondsPerToken
	}
	return slope
}
