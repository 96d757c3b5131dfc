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
)

// prefillModel estimates the prefill time of a prompt token by a linear fit (weighted
// least squares) of the time to the first event over the length of the prompt. The
// part of the time that does not depend on the prompt, such as the network, does not
// count. The zero value knows no observation.
type prefillModel struct {
	n, x, y, xx, xy float64
}

// observe records the time in seconds to the first event after a prompt of the given
// number of tokens.
func (m *prefillModel) observe(tokens, seconds float64) {
	weight := 1.0
	if m.n > 0 && seconds > m.y/m.n+m.secondsPerToken()*(tokens-m.x/m.n) {
		weight = longTimeWeight
	}
	m.n = fitDecay*m.n + weight
	m.x = fitDecay*m.x + weight*tokens
	m.y = fitDecay*m.y + weight*seconds
	m.xx = fitDecay*m.xx + weight*tokens*tokens
	m.xy = fitDecay*m.xy + weight*tokens*seconds
}

// secondsPerToken returns the slope of the fit, or the default if the observations
// do not show it.
func (m *prefillModel) secondsPerToken() float64 {
	if m.n < minFitObservations {
		return defaultSecondsPerToken
	}
	mean := m.x / m.n
	variance := m.xx/m.n - mean*mean
	slope := (m.xy/m.n - mean*m.y/m.n) / max(variance, 1)
	if variance < minFitSpread*minFitSpread*mean*mean || slope <= 0 {
		return defaultSecondsPerToken
	}
	return slope
}
