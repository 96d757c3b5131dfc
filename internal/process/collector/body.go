package collector

import (
	"sync/atomic"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
)

// Body is the body of a request. A nil body is empty.
type Body struct {
	// segments are the bytes of the body, nil once it was dropped, and size their number.
	segments atomic.Pointer[[][]byte]
	size     int
	// held is the number of reserved bytes, and accounts holds them by budget. A body is in
	// at most three: it may begin as a small one that is not listed and end as a large one.
	held     atomic.Int64
	accounts []account
}

// account is what a body has reserved in one budget.
type account struct {
	budget  *reserver.Budget
	account *reserver.Account
}

// NewBody returns a body without reservations.
func NewBody(segments ...[]byte) *Body {
	b := &Body{}
	b.set(segments)
	return b
}

// set sets the segments of a body.
func (b *Body) set(segments [][]byte) {
	for _, s := range segments {
		b.size += len(s)
	}
	b.segments.Store(&segments)
}

// Len returns the number of bytes of the body.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Parts returns the segments of the body, which must not be changed. It returns nil after
// [Body.Drop].
func (b *Body) Parts() [][]byte {
	if b == nil {
		return nil
	}
	if s := b.segments.Load(); s != nil {
		return *s
	}
	return nil
}

// Drop releases a body that will not be sent again, and its bytes.
func (b *Body) Drop() {
	if b != nil {
		b.segments.Store(nil)
		b.Release()
	}
}

// Release gives back what is reserved for the body, which must not be used any more.
// Further calls do nothing.
func (b *Body) Release() {
	if b == nil {
		return
	}
	for _, a := range b.accounts {
		a.account.Close()
	}
}

// reserve reserves n bytes in a budget. It returns false if they do not fit.
func (b *Body) reserve(budget *reserver.Budget, n int64) bool {
	if !b.accountIn(budget).Reserve(int(n)) {
		return false
	}
	b.held.Add(n)
	return true
}

// accountIn returns the account of the body in a budget.
func (b *Body) accountIn(budget *reserver.Budget) *reserver.Account {
	for _, a := range b.accounts {
		if a.budget == budget {
			return a.account
		}
	}
	a := account{budget: budget, account: budget.Open()}
	b.accounts = append(b.accounts, a)
	return a.account
}
