// Package reserver bounds the bytes that a process holds for its callers.
//
// One [Budget], which follows from the memory that the process may use, covers the heads
// and bodies of requests and the answers. Each of these has a part of it with a limit of
// its own, so that none takes all; see [Memory]. A reservation is counted in its part and
// in all budgets above it, and is refused if it does not fit into one of them. It never
// waits. Package collector makes bodies wait for room.
//
// Each answer and each body may hold a fixed share, [ShareBytes], without a reservation.
// So a sound answer within its share is served even if nothing is left in the budget.
//
// An [Account] holds the reservations of one request in one budget. Goroutines of its
// caller and of its upstreams use it; it is counted atomically, so that a reservation
// costs them no wait for the owner of the budget.
//
// # Usage
//
//	memory := reserver.NewMemory(memoryLimit)
//	account := memory.Answers.Open()
//	defer account.Close()
//	if account.Reserve(n) {
//		defer account.Release(n)
//	}
package reserver

import "sync/atomic"

const (
	// ShareBytes is the number of bytes of a body, of an answer, or of a part of one that
	// waits for its caller, that are held without a reservation. It leaves room for as many
	// requests as an entry of 284 MB has sockets for, each with some parts that wait.
	ShareBytes = 4 << 10
	// DefaultMemoryLimit is the memory in bytes that a process may use if its settings
	// do not say.
	DefaultMemoryLimit = 256 << 20
	// closed marks an account without reservations that gets no more.
	closed = -1
)

// The parts of the memory of a process, in sixteenths. All that is held for callers has
// totalPart, and no kind of it more than its own part. The Go runtime uses at most
// runtimePart for these and for all else. The rest is for the program itself, bytes in
// sockets and garbage that is collected late.
const (
	totalPart      = 4
	bodyPart       = 3
	answerPart     = 2
	headPart       = 1
	connectionPart = 6
	runtimePart    = 10
	allParts       = 16
)

const (
	// SocketBytes is the size of the receive and of the send buffer of the connection of a
	// caller as it is asked for. The kernel holds up to twice as much and does not let them
	// grow. Receive buffers of 16 KB stall connections over the loopback interface, whose
	// packets have 64 KB.
	SocketBytes = 32 << 10
	// connectionBytes is the memory of a connection apart from what is reserved: the stack
	// of its goroutine, the buffers of net/http, the shares of a head, a body and an answer,
	// and what usually waits in its socket.
	connectionBytes = 32<<10 + SocketBytes
)

// RuntimeBytes returns the memory limit of the Go runtime for a process that may use
// memoryLimit bytes. Near it, garbage is collected more often.
func RuntimeBytes(memoryLimit int64) int64 { return memoryLimit / allParts * runtimePart }

// MaxConnections returns the number of connections of callers for which a process that may
// use memoryLimit bytes has memory.
func MaxConnections(memoryLimit int64) int {
	return int(memoryLimit / allParts * connectionPart / connectionBytes)
}

// Memory holds the budgets of a process for what it holds for its callers.
type Memory struct {
	// Total covers all others. Heads and Bodies are those of requests.
	Total   *Budget
	Heads   *Budget
	Bodies  *Budget
	Answers *Budget
}

// NewMemory returns the budgets of a process that may use memoryLimit bytes. If it is zero,
// [DefaultMemoryLimit] is assumed.
func NewMemory(memoryLimit int64) Memory {
	if memoryLimit == 0 {
		memoryLimit = DefaultMemoryLimit
	}
	unit := memoryLimit / allParts
	total := NewBudget(unit * totalPart)
	return Memory{
		Total: total, Heads: total.NewPart(unit * headPart),
		Bodies: total.NewPart(unit * bodyPart), Answers: total.NewPart(unit * answerPart),
	}
}

// Stats is a snapshot of a budget.
type Stats struct {
	// Held is the number of reserved bytes, and Limit their maximum.
	Held  int64
	Limit int64
	// Refused counts the reservations that did not fit.
	Refused uint64
}

// Budget is a number of bytes that may be held.
type Budget struct {
	limit   int64
	held    atomic.Int64
	refused atomic.Uint64
	// parent is the budget of which this one is a part. It is nil for the whole.
	parent *Budget
	// released gets a value after a release while awaited is true. Only the whole has it.
	released chan struct{}
	awaited  atomic.Bool
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, released: make(chan struct{}, 1)}
}

// NewPart returns a part of b of at most limit bytes. What is reserved in it is reserved in
// b as well.
func (b *Budget) NewPart(limit int64) *Budget { return &Budget{limit: limit, parent: b} }

// whole returns the budget that b is a part of, or b itself.
func (b *Budget) whole() *Budget {
	for b.parent != nil {
		b = b.parent
	}
	return b
}

// Released returns a channel that gets a value after bytes were released in any part of
// the whole budget, while they are awaited; see [Budget.Await].
func (b *Budget) Released() <-chan struct{} { return b.whole().released }

// Await tells whether somebody waits for bytes to be released.
func (b *Budget) Await(awaited bool) { b.whole().awaited.Store(awaited) }

// Free returns the number of bytes that can be reserved in b at the moment.
func (b *Budget) Free() int64 {
	free := b.limit - b.held.Load()
	if b.parent != nil {
		free = min(free, b.parent.Free())
	}
	return max(0, free)
}

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

// take takes n bytes if they are left in b and in all budgets above it.
func (b *Budget) take(n int64) bool {
	if !b.add(n) {
		b.refused.Add(1)
		return false
	}
	if b.parent == nil || b.parent.take(n) {
		return true
	}
	b.held.Add(-n)
	b.refused.Add(1)
	return false
}

// add adds n to the held bytes if that does not exceed the limit.
func (b *Budget) add(n int64) bool {
	for {
		held := b.held.Load()
		if held+n > b.limit {
			return false
		}
		if b.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// give gives back n bytes.
func (b *Budget) give(n int64) {
	for ; b != nil; b = b.parent {
		b.held.Add(-n)
		if b.parent == nil && b.awaited.Load() {
			select {
			case b.released <- struct{}{}:
			default:
			}
		}
	}
}

// Account holds the reservations of one request in a budget. A nil account reserves anything.
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
		a.budget.give(int64(n))
		return false
	}
	return true
}

// Release gives back n reserved bytes. It does nothing after Close.
func (a *Account) Release(n int) {
	if a != nil && n > 0 && a.add(-int64(n)) {
		a.budget.give(int64(n))
	}
}

// Close gives back all bytes that are still reserved.
func (a *Account) Close() {
	if a == nil {
		return
	}
	if n := a.reserved.Swap(closed); n > 0 {
		a.budget.give(n)
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
