// Package soaker holds the randomised soak of the programs, which stands in its
// test files.
//
// The soak runs entries as separate processes before stand-ins of the store and
// of runners, and injects faults from outside: a loopback proxy delays, resets,
// cuts or silences connections; signals stop, pause, kill and restart processes;
// the store and the runners misbehave. It checks the promises from what callers
// and runners see.
//
// # Usage
//
//	MAGNOLIAFRONT_SOAK_SEED=1 MAGNOLIAFRONT_SOAK_SEEDS=50 MAGNOLIAFRONT_SOAK_SECONDS=15 go test -timeout 60m -run TestSoak ./internal/process/soaker
//	MAGNOLIAFRONT_SOAK_SEED=17 go test -run TestSoak ./internal/process/soaker
package soaker
