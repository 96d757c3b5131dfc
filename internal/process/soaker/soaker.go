// Package soaker contains the randomised soak test of the programs, in its test
// files.
//
// The test runs entries as separate processes with an emulated object store and
// emulated runners, and injects faults from outside: a loopback proxy delays or
// resets connections or drops their bytes; signals pause, terminate and kill
// processes, which are then restarted; the store and the runners respond
// incorrectly. The test checks the guarantees of the system against the requests
// and responses that callers and runners have recorded.
//
// A second test stops entries in turn while callers write their requests in pieces. It
// also checks how each connection ended and what the logs of the entries say.
//
// A third test has sound upstreams that fall silent within an answer and go on, beside
// new configurations or stops of the entries.
//
// A fourth test has entries and upstreams killed, stopped or paused while answers are on
// their way, which end with a length, with chunks or with the connection. Its upstreams are
// processes of their own.
//
// # Usage
//
//	MAGNOLIAFRONT_SOAK_SEED=1 MAGNOLIAFRONT_SOAK_SEEDS=50 MAGNOLIAFRONT_SOAK_SECONDS=15 go test -timeout 60m -run TestSoak ./internal/process/soaker
//	MAGNOLIAFRONT_SOAK_SEED=17 go test -run TestSoak ./internal/process/soaker
//	MAGNOLIAFRONT_SOAK_SEED=1 MAGNOLIAFRONT_SOAK_SEEDS=20 go test -timeout 60m -run TestPlannedStop ./internal/process/soaker
//	MAGNOLIAFRONT_SOAK_SEED=1 MAGNOLIAFRONT_SOAK_SEEDS=10 MAGNOLIAFRONT_SOAK_SECONDS=10 go test -timeout 60m -run TestSilence ./internal/process/soaker
//	MAGNOLIAFRONT_SOAK_SEED=1 MAGNOLIAFRONT_SOAK_SEEDS=10 MAGNOLIAFRONT_SOAK_SECONDS=20 go test -timeout 60m -v -run TestAnswersEndWholeOrCut ./internal/process/soaker
package soaker
