package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// Class is a class of requests and the distribution of its work.
type Class struct {
	Name             string
	Tier             int
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	AnswerTarget     time.Duration
	// MedianTokens and Spread are the median and the standard deviation of the
	// logarithm of the answer length, which is lognormal, cut at 10 and 2,000.
	MedianTokens float64
	Spread       float64
	// PromptTokens is the mean length of a prompt and PrefixTokens the length
	// of the part that it shares with others of its organisation.
	PromptTokens int
	PrefixTokens int
	// Share is the share of the class in the demand for engine time.
	Share float64
}

// Request is one request of a trace.
type Request struct {
	At           time.Duration
	Class        int
	Organisation int
	PromptTokens int
	Prefix       uint64
	PrefixTokens int
	// Tokens is the length of the answer. Only the engines and the bound know
	// it in advance.
	Tokens int
	// Content identifies the body. Requests that are sent again share it.
	Content int
	// Poison requests crash the engine at their first token.
	Poison bool
}

const (
	minAnswer = 10
	maxAnswer = 2000
	// prefixVariants is the number of prefixes of an organisation in a class.
	prefixVariants = 3
	// samples is the number of requests from which mean costs are taken.
	samples = 20000
)

// classes returns the classes that all scenarios share.
func classes() []Class {
	const streamed, gap, whole = time.Second, 33 * time.Millisecond, time.Minute
	return []Class{
		{Name: "renter-chat", Tier: 1, FirstTokenTarget: streamed, TokenGapTarget: gap, MedianTokens: 80, Spread: 1, PromptTokens: 300, PrefixTokens: 150, Share: 0.30},
		{Name: "guide-briefing", Tier: 2, FirstTokenTarget: streamed, TokenGapTarget: gap, MedianTokens: 220, Spread: 0.8, PromptTokens: 700, PrefixTokens: 350, Share: 0.20},
		{Name: "battery-check", Tier: 4, FirstTokenTarget: streamed, TokenGapTarget: gap, MedianTokens: 40, Spread: 0.8, PromptTokens: 200, PrefixTokens: 100, Share: 0.15},
		{Name: "returns-summary", Tier: 6, AnswerTarget: whole, MedianTokens: 200, Spread: 0.8, PromptTokens: 1200, PrefixTokens: 300, Share: 0.20},
		{Name: "recipe-draft", Tier: 8, AnswerTarget: whole, MedianTokens: 300, Spread: 1, PromptTokens: 2000, PrefixTokens: 950, Share: 0.15},
	}
}

// engine returns the options of each engine. An iteration of a full batch takes
// 23 ms, or 31 ms with a chunk of a prompt, which keeps the gap target of 33 ms.
func engine() emulator.BatchOptions {
	return emulator.BatchOptions{
		Slots: 16, KVTokens: 49152, PrefixTokens: 16384,
		PrefillTimePerToken: 60 * time.Microsecond, PrefillChunk: 128,
		DecodeTime: 15 * time.Millisecond, DecodeTimePerRun: 500 * time.Microsecond,
	}
}

// engineTime returns the least time of an engine that a request takes: its
// share of full iterations, one for each chunk of its prompt that cannot be
// cached and one for each token after the first, and the time to read that part
// of the prompt.
func engineTime(r Request) time.Duration {
	o := engine()
	share := o.DecodeTime/time.Duration(o.Slots) + o.DecodeTimePerRun
	prompt := r.PromptTokens - r.PrefixTokens
	chunks := (prompt + o.PrefillChunk - 1) / o.PrefillChunk
	return time.Duration(chunks+r.Tokens-1)*share + time.Duration(prompt)*o.PrefillTimePerToken
}

// trace draws the requests of a scenario in the order of their arrival.
func trace(s Scenario, seed uint64) []Request {
	var out []Request
	for i, c := range classes() {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		mean := meanEngineTime(s, i, c)
		for at := time.Duration(0); ; {
			rate := s.demand(at, c) * float64(s.Runners) / mean.Seconds()
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.Duration {
				break
			}
			r := draw(random, s, i, c)
			r.At = at
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range out {
		out[i].Content = i + 1
	}
	return append(out, poison(s)...)
}

func draw(random *rand.Rand, s Scenario, i int, c Class) Request {
	organisation := s.organisation(random.Float64())
	variant := random.IntN(prefixVariants)
	return Request{
		Class: i, Organisation: organisation,
		PromptTokens: max(c.PrefixTokens+1, int(float64(c.PromptTokens)*(0.5+random.Float64()))),
		PrefixTokens: c.PrefixTokens,
		Prefix:       1 + uint64(variant+prefixVariants*(organisation+1000*i)),
		Tokens:       min(maxAnswer, max(minAnswer, int(c.MedianTokens*math.Exp(c.Spread*random.NormFloat64())))),
	}
}

// poison returns the requests of a caller that sends the same poison request
// once a second.
func poison(s Scenario) []Request {
	var out []Request
	for i := range s.Poison {
		out = append(out, Request{
			At: poisonFrom + time.Duration(i)*time.Second, Class: 0, PromptTokens: 100, Tokens: 100, Content: -1, Poison: true,
		})
	}
	return out
}

func meanEngineTime(s Scenario, i int, c Class) time.Duration {
	random := rand.New(rand.NewPCG(0, uint64(i)))
	var sum time.Duration
	for range samples {
		sum += engineTime(draw(random, s, i, c))
	}
	return sum / samples
}
