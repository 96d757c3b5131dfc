package starter

import (
	"magnoliafront.dev/magnoliafront/internal/process/collector"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
)

// watchMemory exports the budgets, and the bodies that were not read to their end.
func watchMemory(m *meter.Meter, memory reserver.Memory, bodies func() collector.Stats) error {
	return m.WatchMemory(func() meter.Memory {
		b := bodies()
		return meter.Memory{
			Parts: map[string]reserver.Stats{
				"total": memory.Total.Stats(), "heads": memory.Heads.Stats(), "bodies": memory.Bodies.Stats(),
				"large_bodies": b.Large, "answers": memory.Answers.Stats(),
			},
			RefusedBodies: b.Refused,
		}
	})
}
