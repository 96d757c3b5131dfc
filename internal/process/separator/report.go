package separator

import (
	"cmp"
	"slices"
	"time"
)

// Each entry sees only its part of the traffic of a service, a few requests a second in a
// large fleet. Entries that decide on what they see alone separate different kinds of
// request, and send long prompts to the engines that others keep free of them. They
// therefore exchange what they have learned, and decide on the sum.

// KindReport is what an entry has learned of one kind of request.
type KindReport struct {
	// Request is the name of the kind of request.
	Request string
	// Rate is the number of requests per second that arrive at the entry, and
	// PromptTokens their mean number of prompt tokens.
	Rate         float64
	PromptTokens float64
	// Run and Gap are those of [Profile], zero without an answer.
	Run time.Duration
	Gap time.Duration
}

// Report is what an entry has learned of the requests of one service.
type Report struct {
	Prefill Prefill
	// Kinds has the kinds with the highest rates.
	Kinds []KindReport
}

// Report returns what this entry has learned.
func (s *Separator) Report(now time.Time) Report {
	out := Report{Prefill: s.prefill}
	for name, k := range s.kinds {
		if k.promptTokens > 0 {
			out.Kinds = append(out.Kinds, k.report(now, name))
		}
	}
	slices.SortFunc(out.Kinds, func(a, b KindReport) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Request, b.Request))
	})
	out.Kinds = out.Kinds[:min(len(out.Kinds), maxCompared)]
	return out
}

func (k *kind) report(now time.Time, name string) KindReport {
	return KindReport{Request: name, Rate: k.rate(now), PromptTokens: k.promptTokens, Run: k.profile.Run, Gap: k.profile.Gap}
}

// SetOthers replaces the sum of the reports of the other entries; see [Sum]. The zero
// value means that none has reported.
func (s *Separator) SetOthers(r Report) { s.others = r }

// Sum returns the report of several entries together.
func Sum(reports []Report) Report {
	var out Report
	for _, r := range reports {
		out.Prefill.Add(r.Prefill)
		for _, k := range r.Kinds {
			i := slices.IndexFunc(out.Kinds, func(o KindReport) bool { return o.Request == k.Request })
			if i < 0 {
				out.Kinds = append(out.Kinds, k)
				continue
			}
			out.Kinds[i] = out.Kinds[i].add(k)
		}
	}
	return out
}

// add returns the report of two entries on the same kind of request. Means are weighted
// by the rates; an entry without an answer does not count in those of answers.
func (k KindReport) add(o KindReport) KindReport {
	sum := KindReport{Request: k.Request, Rate: k.Rate + o.Rate}
	sum.PromptTokens = weightedMean(k.PromptTokens, k.Rate, o.PromptTokens, o.Rate)
	sum.Run = time.Duration(weightedMean(float64(k.Run), k.Rate, float64(o.Run), o.Rate))
	sum.Gap = time.Duration(weightedMean(float64(k.Gap), k.Rate, float64(o.Gap), o.Rate))
	return sum
}

// weightedMean returns the mean of two values with their weights. A value of zero is
// unknown and does not count.
func weightedMean(a, weightA, b, weightB float64) float64 {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	case weightA+weightB == 0:
		return (a + b) / 2
	}
	return (a*weightA + b*weightB) / (weightA + weightB)
}

// fleetWide returns what is known of a kind of request at all entries together. Entries
// that have requests and do not report are taken to get as many as the mean of the others.
// Without any report, each entry is taken to get as many requests as this one.
func (s *Separator) fleetWide(now time.Time, name string, k *kind, f Fleet) KindReport {
	sum := k.report(now, name)
	if len(s.others.Kinds) == 0 {
		sum.Rate *= float64(max(1, f.Entries))
		return sum
	}
	for _, o := range s.others.Kinds {
		if o.Request == name {
			sum = sum.add(o)
		}
	}
	reporting := float64(max(1, f.Entries-f.NotReporting))
	sum.Rate *= (reporting + float64(f.NotReporting)) / reporting
	return sum
}
