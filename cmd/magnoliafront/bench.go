package main

import (
	"encoding/json"
	"os"

	"magnoliafront.dev/magnoliafront/internal/process/bench"
)

type benchCommand struct {
	Seed     uint64 `long:"seed" default:"1" description:"Seed of the traces and of the random choices"`
	Scenario string `long:"scenario" value-name:"NAME" description:"Run this scenario alone"`
	Policy   string `long:"policy" value-name:"NAME" description:"Run under this policy alone"`
	JSON     bool   `long:"json" description:"Print the results as JSON"`
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	results, err := bench.Run(bench.Options{Seed: c.Seed, Scenario: c.Scenario, Policy: c.Policy})
	if err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(results)
	}
	return bench.WriteTable(os.Stdout, results)
}
