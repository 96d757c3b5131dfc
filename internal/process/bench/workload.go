package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// Class is a class of requests with its targets and the distributions of its
// prompt and answer lengths.
type Class struct {
	Name             string
	Tier             int
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	AnswerTarget     time.Duration
	// The answer length is lognormal, limited to the range from 10 to 2,000 tokens.
	// MedianAnswerTokens is its median and LogStdDev the standard deviation of its
	// logarithm.
	MedianAnswerTokens float64
	LogStdDev          float64
	// PromptTokens is the mean length of a prompt and PrefixTokens the length of
	// the prefix that it shares with other prompts of its organisation.
	PromptTokens int
	PrefixTokens int
	// Share is the share of the class in the offered load.
	Share float64
}

// Request is one request of a trace.
type Request struct {
	// At is the arrival time, counted from the start of the simulation.
	At           time.Duration
	Class        int
	Organisation int
	PromptTokens int
	Prefix       uint64
	PrefixTokens int
	// AnswerTokens is the length of the answer. Only the engines and the bounds
	// know it in advance.
	AnswerTokens int
	// Content identifies the body. All copies of the poison request have the same.
	Content int
	// Poison is true if the request crashes an engine at the first token.
	Poison bool
}

const (
	minAnswerTokens = 10
	maxAnswerTokens = 2000
	// prefixVariants is the number of shared prefixes of each organisation in a
	// class.
	prefixVariants = 3
	// meanCostSamples is the sample size for the mean engine time of a class.
	meanCostSamples = 20000
)

// workloadClasses returns the classes that all scenarios have in common.
func workloadClasses() []Class {
	const firstToken, tokenGap, answer = time.Second, 33 * time.Millisecond, time.Minute
	return []Class{
		{Name: "renter-chat", Tier: 1, FirstTokenTarget: firstToken, TokenGapTarget: tokenGap, MedianAnswerTokens: 80, LogStdDev: 1, PromptTokens: 300, PrefixTokens: 150, Share: 0.30},
		{Name: "guide-briefing", Tier: 2, FirstTokenTarget: firstToken, TokenGapTarget: tokenGap, MedianAnswerTokens: 220, LogStdDev: 0.8, PromptTokens: 700, PrefixTokens: 350, Share: 0.20},
		{Name: "battery-check", Tier: 4, FirstTokenTarget: firstToken, TokenGapTarget: tokenGap, MedianAnswerTokens: 40, LogStdDev: 0.8, PromptTokens: 200, PrefixTokens: 100, Share: 0.15},
		{Name: "returns-summary", Tier: 6, AnswerTarget: answer, MedianAnswerTokens: 200, LogStdDev: 0.8, PromptTokens: 1200, PrefixTokens: 300, Share: 0.20},
		{Name: "recipe-draft", Tier: 8, AnswerTarget: answer, MedianAnswerTokens: 300, LogStdDev: 1, PromptTokens: 2000, PrefixTokens: 950, Share: 0.15},
	}
}

// engineOptions returns the options of each engine. An iteration of a full batch
// takes 23 ms, or 31 ms with a chunk of a prompt, which is within the token gap
// target of 33 ms.
func engineOptions() emulator.BatchOptions {
	return emulator.BatchOptions{
		Slots: 16, KVTokens: 49152, PrefixTokens: 16384,
		PrefillTimePerToken: 60 * time.Microsecond, PrefillChunk: 128,
		DecodeTime: 15 * time.Millisecond, DecodeTimePerRun: 500 * time.Microsecond,
	}
}

// engineTime returns the minimum engine time of a request. It consists of the
// request's share of the iterations of a full batch, one for each chunk of the
// part of its prompt outside the shared prefix and one for each token after the
// first, and the prefill time of that part.
func engineTime(r Request) time.Duration {
	o := engineOptions()
	share := o.DecodeTime/time.Duration(o.Slots) + o.DecodeTimePerRun
	prompt := r.PromptTokens - r.PrefixTokens
	chunks := (prompt + o.PrefillChunk - 1) / o.PrefillChunk
	return time.Duration(chunks+r.AnswerTokens-1)*share + time.Duration(prompt)*o.PrefillTimePerToken
}

// generateTrace generates the requests of a scenario in the order of their
// arrival. The arrivals of a class are a Poisson process.
func generateTrace(s Scenario, seed uint64) []Request {
	var out []Request
	for i, c := range workloadClasses() {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		mean := meanEngineTime(s, i, c)
		for at := time.Duration(0); ; {
			rate := s.demand(at, c) * float64(s.Agents) / mean.Seconds()
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.Duration {
				break
			}
			r := drawRequest(random, s, i, c)
			r.At = at
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range out {
		out[i].Content = i + 1
	}
	return append(out, poisonRequests(s)...)
}

// drawRequest draws a request of class c, which has the index i.
func drawRequest(random *rand.Rand, s Scenario, i int, c Class) Request {
	organisation := s.organisationAt(random.Float64())
	variant := random.IntN(prefixVariants)
	return Request{
		Class: i, Organisation: organisation,
		PromptTokens: max(c.PrefixTokens+1, int(float64(c.PromptTokens)*(0.5+random.Float64()))),
		PrefixTokens: c.PrefixTokens,
		Prefix:       1 + uint64(variant+prefixVariants*(organisation+1000*i)),
		AnswerTokens: min(maxAnswerTokens, max(minAnswerTokens, int(c.MedianAnswerTokens*math.Exp(c.LogStdDev*random.NormFloat64())))),
	}
}

// poisonRequests returns the requests of a caller that sends the same poison
// request once per second.
func poisonRequests(s Scenario) []Request {
	var out []Request
	for i := range s.Poison {
		out = append(out, Request{
			At: poisonStart + time.Duration(i)*time.Second, Class: 0, PromptTokens: 100, AnswerTokens: 100, Content: -1, Poison: true,
		})
	}
	return out
}

// meanEngineTime estimates the mean engine time of the requests of class c, which
// has the index i, from a fixed random sample.
func meanEngineTime(s Scenario, i int, c Class) time.Duration {
	random := rand.New(rand.NewPCG(0, uint64(i)))
	var sum time.Duration
	for range meanCostSamples {
		sum += engineTime(drawRequest(random, s, i, c))
	}
	return sum / meanCostSamples
}
