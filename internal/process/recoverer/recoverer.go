// Package recoverer keeps a panic in the handling of one message from ending the
// process.
//
// A goroutine that handles messages of other processes runs the handler of each one
// with [Recoverer.Run]. A panic ends the handling of that message alone. It is
// logged with its stack and counted, since it is always a fault of the program.
//
// # Usage
//
//	if err := r.Run("handle a report", func() { handle(report) }); err != nil {
//		// give up the request of the report
//	}
package recoverer

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// Error is the error type of this package. It means that a function panicked.
type Error struct {
	// Op names what the function did.
	Op    string
	Value any
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: panic: %v", e.Op, e.Value) }

// Recoverer runs functions that may panic. The zero value and nil are ready to use.
type Recoverer struct {
	// Panics is the number of panics so far.
	Panics atomic.Uint64
}

// Run calls f. If f panics, it returns an [*Error].
func (r *Recoverer) Run(op string, f func()) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if r != nil {
			r.Panics.Add(1)
		}
		failure := &Error{Op: op, Value: value}
		klog.ErrorS(failure, "panic recovered", "stack", string(debug.Stack()))
		err = failure
	}()
	f()
	return nil
}
