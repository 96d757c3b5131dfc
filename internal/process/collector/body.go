package collector

import (
	"sync/atomic"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
)

// Body is the body of a request. A nil body is empty.
type Body struct {
	// Segments are the bytes of the body. They must not be changed.
	Segments [][]byte
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
func NewBody(segments ...[]byte) *Body { return &Body{Segments: segments} }

// Parts returns the segments of the body.
func (b *Body) Parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.Segments
}

// Release gives back what is reserved for the body. The body must not be used any more.
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
