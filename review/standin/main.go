// Command standin holds the stand-ins of the review: the platform with its store,
// runners and clients. Each case starts the gateway as a process of its own.
//
// # Usage
//
//	standin CASE FOLDER
//
// The case writes record.txt to FOLDER. The exit code is 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 in the environment the case
// runs without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout is the maximum duration of a case.
const caseTimeout = 100 * time.Second

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) == 4 && os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, serveRunner(os.Args[2], os.Args[3]))
		os.Exit(exitFailed)
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs one case and returns the exit code.
func runCase(name, folder string) int {
	play := caseByName(name)
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	f := newFleet(rec, os.Getenv("TROUBLE") != "0")
	defer f.stop()
	watchdog := time.AfterFunc(caseTimeout, func() {
		rec.logf("the case did not end within %v", caseTimeout)
		f.stop()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		rec.logf("the case is stopped by signal %v", <-signals)
		f.stop()
		os.Exit(exitFailed)
	}()
	rec.logf("case %s, with the disruption: %t", name, f.trouble)
	err = play(f)
	switch {
	case errors.Is(err, errBroken):
		rec.logf("RESULT: %v", err)
		return exitBroken
	case err != nil:
		rec.logf("RESULT: the case could not run: %v", err)
		return exitFailed
	}
	rec.logf("RESULT: the rule held")
	return exitHeld
}
