// Package bench evaluates the routing and scheduling policies in a discrete-event
// simulation.
//
// A simulation sends a generated trace of requests to three entries and nine
// agents. The entries use the picker and the retrier of the system, the agents
// its scheduler, and each agent has an engine modelled by [emulator.Batch]. There
// are no goroutines, sockets or system clocks: the virtual time advances from
// event to event of a priority queue, so that a simulation with the same seed
// gives the same results on any machine.
//
// The simulation counts violations of the promises P1 and P2 of the system: a run
// is preempted only for a run of a higher tier and not shed while a run of a lower
// tier is active (P1), and no class with waiting runs starves (P2). Tier 1 is the
// highest tier.
//
// Every scenario runs under the production policy and under two baseline
// policies. A streamed answer is on target if the time to first token and the
// mean gap between its tokens meet the targets of its class; any other answer, if
// its total time does. A refused request counts as missed. A caller cancels its
// request after 10 s without the first token of a stream, or 120 s without a whole
// answer.
//
// # Usage
//
//	results, err := bench.Run(bench.Options{Seed: 1, Scenario: "burst"})
//	if err != nil {
//		// There is no such scenario or policy.
//	}
//	err = bench.WriteTable(os.Stdout, results)
package bench

import (
	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

// The names of the policies.
const (
	// PolicyInUse is the production policy: [picker.ExpectedFirstToken] with
	// [scheduler.Tiered].
	PolicyInUse = "in use"
	// PolicyRoundRobin and PolicyLeastOutstanding are baselines with
	// [scheduler.FirstInFirstOut] queues.
	PolicyRoundRobin       = "fifo, round robin"
	PolicyLeastOutstanding = "fifo, least outstanding"
)

// Options selects the simulations to run.
type Options struct {
	// Seed initialises the generated traces and the pickers.
	Seed uint64
	// Scenario and Policy are the names of a scenario and a policy. An empty name
	// selects all.
	Scenario string
	Policy   string
}

// Run simulates the selected scenarios under the selected policies and returns
// the results in the order of [Scenarios]. It fails with [ErrorUnknownName] if no
// scenario or policy has the given name.
func Run(o Options) ([]Result, error) {
	var out []Result
	for _, s := range Scenarios() {
		if o.Scenario != "" && o.Scenario != s.Name {
			continue
		}
		for _, policy := range []string{PolicyInUse, PolicyRoundRobin, PolicyLeastOutstanding} {
			if o.Policy == "" || o.Policy == policy {
				out = append(out, simulate(s, policy, o.Seed))
			}
		}
	}
	if out == nil {
		return nil, &Error{Op: "run", Kind: ErrorUnknownName, Err: errors.Errorf("no scenario %q with policy %q", o.Scenario, o.Policy)}
	}
	return out, nil
}

func simulate(s Scenario, policy string, seed uint64) Result {
	var r Result
	switch policy {
	case PolicyRoundRobin:
		r = newSimulation[scheduler.FirstInFirstOut, picker.RoundRobin](s, seed).run()
	case PolicyLeastOutstanding:
		r = newSimulation[scheduler.FirstInFirstOut, picker.LeastOutstanding](s, seed).run()
	default:
		r = newSimulation[scheduler.Tiered, picker.ExpectedFirstToken](s, seed).run()
	}
	r.Policy = policy
	return r
}
