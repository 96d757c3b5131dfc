package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cleanup ends what the case has started. It is called before each exit.
var cleanup = func() {}

func finish(code int, rec *record, format string, args ...any) {
	cleanup()
	text := fmt.Sprintf(format, args...)
	if rec != nil {
		rec.line("result: %s (exit %d)", text, code)
	}
	fmt.Println(text)
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	cleanup()
	fmt.Printf("cannot run: "+format+"\n", args...)
	os.Exit(exitNotRun)
}
