// Package reserver bounds the bytes of answers that a process holds for its callers.
//
// Each answer may hold a fixed share, [ShareBytes]. What an answer holds beyond its
// share is reserved in the [Budget] of the process, which follows from the memory that
// the process may use. A reservation never waits: an answer that gets none is relayed
// as it arrives, or is given up. So answers cannot wait for each other, and a sound
// answer within its share is served even if nothing is left in the budget.
//
// An [Account] holds the reservations of one request. Goroutines of its caller and of
// its upstreams use it; it is counted atomically, so that a reservation costs them no
// wait for the owner of the budget.
//
// # Usage
//
//	budget := reserver.NewBudget(reserver.AnswerBytes(memoryLimit))
//	account := budget.Open()
//	defer account.Close()
//	if account.Reserve(n) {
//		defer account.Release(n)
//	}
package reserver

import "sync/atomic"

const (
	// ShareBytes is the number of bytes of an answer, or of a part of one that waits for
	// its caller, that are held without a reservation. It leaves room for as many requests
	// as an entry of 284 MB has sockets for, each with some parts that wait.
	ShareBytes = 4 << 10
	// DefaultMemoryLimit is the memory in bytes that a process may use if its settings
	// do not say.
	DefaultMemoryLimit = 256 << 20
	// answerPart and runtimePart are the parts of the memory of a process, in eighths, for
	// the answers in the budget and for all that the Go runtime uses. The rest is for the
	// program itself, bytes in sockets and garbage that is collected late.
	answerPart  = 1
	runtimePart = 5
	allParts    = 8
	// closed marks an account without reservations that gets no more.
	closed = -1
)

// AnswerBytes returns the budget of a process that may use memoryLimit bytes.
func AnswerBytes(memoryLimit int64) int64 { return memoryLimit / allParts * answerPart }

// RuntimeBytes returns the memory limit of the Go runtime for a process that may use
// memoryLimit bytes. Near it, garbage is collected more often.
func RuntimeBytes(memoryLimit int64) int64 { return memoryLimit / allParts * runtimePart }

// Stats is a snapshot of a budget.
type Stats struct {
	// Held is the number of reserved bytes, and Limit their maximum.
	Held  int64
	Limit int64
	// Refused counts the reservations that did not fit.
	Refused uint64
}

// Budget is the number of bytes that all answers of a process may hold beyond their
// shares.
type Budget struct {
	limit   int64
	held    atomic.Int64
	refused atomic.Uint64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Stats returns the current state. A nil budget has none.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	return Stats{Held: b.held.Load(), Limit: b.limit, Refused: b.refused.Load()}
}

// Open returns the account of a request. That of a nil budget is unlimited.
func (b *Budget) Open() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b}
}

// take takes n bytes if they are left.
func (b *Budget) take(n int64) bool {
	for {
		held := b.held.Load()
		if held+n > b.limit {
			b.refused.Add(1)
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// Account holds the reservations of one request. A nil account reserves anything.
type Account struct {
	budget *Budget
	// reserved is the number of reserved bytes, or closed.
	reserved atomic.Int64
}

// Reserve reserves n bytes. It returns false if they do not fit into the budget or the
// account is closed.
func (a *Account) Reserve(n int) bool {
	if a == nil || n <= 0 {
		return true
	}
	if !a.budget.take(int64(n)) {
		return false
	}
	if !a.add(int64(n)) {
		a.budget.held.Add(-int64(n))
		return false
	}
	return true
}

// Release gives back n reserved bytes. It does nothing after Close.
func (a *Account) Release(n int) {
	if a != nil && n > 0 && a.add(-int64(n)) {
		a.budget.held.Add(-int64(n))
	}
}

// Close gives back all bytes that are still reserved.
func (a *Account) Close() {
	if a == nil {
		return
	}
	if n := a.reserved.Swap(closed); n > 0 {
		a.budget.held.Add(-n)
	}
}

// add adds n to the reserved bytes unless the account is closed.
func (a *Account) add(n int64) bool {
	for {
		old := a.reserved.Load()
		if old == closed {
			return false
		}
		if a.reserved.CompareAndSwap(old, old+n) {
			return true
		}
	}
}
