package bench

import "time"

// FaultKind is the kind of a fault.
type FaultKind int

// The kinds of faults.
const (
	// FaultSlowEngine multiplies the iteration time of an engine by Factor. Factor
	// 1 ends the fault.
	FaultSlowEngine FaultKind = iota
	// FaultEngineCrash loses all runs of an engine, which restarts after
	// engineRestartTime.
	FaultEngineCrash
	// FaultEntryRestart and FaultAgentRestart begin a graceful restart: the process
	// accepts no new work and finishes the work in flight, then a new process
	// replaces it.
	FaultEntryRestart
	FaultAgentRestart
)

// Fault is one injected fault of a scenario.
type Fault struct {
	// At is the time from the start of the simulation.
	At   time.Duration
	Kind FaultKind
	// Index is the index of the agent or entry.
	Index int
	// Factor is the multiple of the iteration time under [FaultSlowEngine].
	Factor float64
}

// Scenario describes a workload and the faults injected into it.
type Scenario struct {
	Name        string
	Description string
	// Duration is the arrival period of requests. The simulation continues until
	// all requests have ended.
	Duration time.Duration
	Agents   int
	Entries  int
	// Load is the offered load of all classes together as a share of the capacity.
	Load float64
	// BurstClass is the name of a class whose offered load is BurstLoad times the
	// capacity from burstStart on. It is empty in a scenario without a burst.
	BurstClass string
	BurstLoad  float64
	// Organisations holds the share of each organisation in the requests.
	Organisations []float64
	// ReportLag is added to the age of load reports.
	ReportLag time.Duration
	// Poison is the number of times that the poison request is sent.
	Poison int
	Faults []Fault
}

const (
	burstStart        = 20 * time.Second
	poisonStart       = 30 * time.Second
	engineRestartTime = 10 * time.Second
	// processRestartTime is the time from the end of a process to the start of its
	// replacement.
	processRestartTime = 5 * time.Second
	defaultDuration    = 180 * time.Second
	// burstScenarioDuration is long compared with the longest answer target, 60 s.
	// The bound serves the requests that wait at the end of the burst without
	// competing arrivals; in a long scenario this has little weight.
	burstScenarioDuration = 600 * time.Second
)

// Scenarios returns all scenarios in the order of the report.
func Scenarios() []Scenario {
	steady := Scenario{
		Name: "steady", Description: "70% of capacity, no faults",
		Duration: defaultDuration, Agents: 9, Entries: 3, Load: 0.7,
		Organisations: []float64{0.30, 0.22, 0.14, 0.08, 0.07, 0.06, 0.05, 0.04, 0.03, 0.01},
	}
	variant := func(name, description string, change func(*Scenario)) Scenario {
		s := steady
		s.Name, s.Description = name, description
		change(&s)
		return s
	}
	return []Scenario{
		steady,
		variant("burst", "battery-check at 3 times the capacity from 20 s to 600 s, the other classes at 60% together", func(s *Scenario) {
			s.Duration, s.BurstClass, s.BurstLoad = burstScenarioDuration, "battery-check", 3
		}),
		variant("market-day", "95% of capacity, 40 small organisations and 2 large ones", func(s *Scenario) {
			s.Load, s.Organisations = 0.95, marketDayShares()
		}),
		variant("slow-runner", "the engine of agent 0 at a fifth of its speed from 40 s to 120 s", func(s *Scenario) {
			s.Faults = []Fault{{At: 40 * time.Second, Kind: FaultSlowEngine, Factor: 5}, {At: 120 * time.Second, Kind: FaultSlowEngine, Factor: 1}}
		}),
		variant("crashes", "an engine crashes every 15 s and is back after 10 s", func(s *Scenario) {
			for i := range 10 {
				s.Faults = append(s.Faults, Fault{At: time.Duration(20+15*i) * time.Second, Kind: FaultEngineCrash, Index: 4 * i % 9})
			}
		}),
		variant("stale-reports", "load reports 5 s old", func(s *Scenario) { s.ReportLag = 5 * time.Second }),
		variant("poison", "a request that crashes its engine, sent 20 times", func(s *Scenario) { s.Poison = 20 }),
		variant("restarts", "an entry and an agent restarted gracefully under load", func(s *Scenario) {
			s.Faults = []Fault{{At: 40 * time.Second, Kind: FaultEntryRestart, Index: 1}, {At: 70 * time.Second, Kind: FaultAgentRestart, Index: 4}}
		}),
		variant("platform-down", "the platform unavailable throughout; no step of these requests calls it", func(*Scenario) {}),
	}
}

// marketDayShares returns the shares of 2 large and 40 small organisations.
func marketDayShares() []float64 {
	out := []float64{0.30, 0.20}
	for range 40 {
		out = append(out, 0.0125)
	}
	return out
}

// demand returns the offered load of a class at a time as a share of the capacity.
func (s Scenario) demand(at time.Duration, c Class) float64 {
	if c.Name == s.BurstClass && at >= burstStart {
		return s.BurstLoad
	}
	return s.Load * c.Share
}

// organisationAt returns the index of the organisation whose interval of the
// cumulative shares contains x, a number in [0,1).
func (s Scenario) organisationAt(x float64) int {
	for i, share := range s.Organisations {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(s.Organisations) - 1
}
