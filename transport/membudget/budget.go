// Package membudget bounds the memory of a process that is held for callers and for servers: bodies of requests, answers,
// heads, and what each connection and request in progress needs. Everything is reserved before it is allocated, by capacity.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/state"
)

const (
	// releaseWait bounds how long a reservation waits for the memory of owners that have been closed for it. Their goroutines end
	// within milliseconds.
	releaseWait = 200 * time.Millisecond
	// scanPause is the min time between two searches for owners to close. Under load most reservations would repeat a search
	// that has found none.
	scanPause = 50 * time.Millisecond
)

// Owner is a connection that memory is held for.
type Owner interface {
	// Stalled returns what the owner waits for.
	Stalled() Stall
	// Evict closes the owner, unless it does not wait for its caller any more. Its memory is released soon after.
	Evict() bool
}

// Budget is the memory of a process for callers and servers. It is safe for concurrent use.
type Budget struct {
	limits limits
	clock  func() state.Instant
	Stats  Stats

	mu       sync.Mutex
	used     int64
	accounts map[*Account]struct{}
	released chan struct{} // closed at the next release; nil while nobody waits for it
	scanned  state.Instant // last search for owners to close that was fruitless
	found    int64         // bytes that closing owners would have released then
}

// Stats counts what the budget has decided.
type Stats struct {
	Refused atomic.Uint64 // reservations refused because the budget was used up
	Evicted atomic.Uint64 // connections closed to release their memory for others
	Used    atomic.Int64  // bytes that are reserved now
}

// New returns a budget of the given number of bytes; 0 sets no bound.
func New(total int64, clock func() state.Instant) *Budget {
	return &Budget{limits: newLimits(total), clock: clock, accounts: make(map[*Account]struct{})}
}

// Account is the part of a budget that one owner holds. A nil *Account has no bound. It is safe for concurrent use.
type Account struct {
	budget *Budget
	owner  Owner
	held   int64 // guarded by budget.mu
}

// Open returns an empty account, or nil when the budget is nil.
func (b *Budget) Open(owner Owner) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, owner: owner}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// Close removes the account once all of its holds have been freed.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.accounts, a)
}

// Hold is the memory of one request or one connection. A nil *Hold has no bound. One goroutine at a time uses it.
type Hold struct {
	account *Account
	use     Use
	held    int64
}

// Hold returns an empty hold. One for another use than Large counts as Large beyond SmallBytes.
func (a *Account) Hold(use Use) *Hold {
	if a == nil {
		return nil
	}
	return &Hold{account: a, use: use}
}

// Arrived changes the use of a hold from Arriving to Small.
func (h *Hold) Arrived() {
	if h != nil && h.use == Arriving {
		h.use = Small
	}
}

// Reserve reserves n bytes. When the budget is used up, it closes owners without progress and waits for their memory for
// releaseWait at most, and returns false when there is not enough then.
func (h *Hold) Reserve(n int64) bool {
	if h == nil {
		return true
	}
	return h.reserve(n, h.use)
}

// ReserveFree reserves n bytes, or returns false when they are not free: it closes no owners.
func (h *Hold) ReserveFree(n int64) bool {
	if h == nil {
		return true
	}
	missing, _ := h.try(n, h.use)
	return missing == 0
}

// reserve is Reserve for a part of the hold that has the given use.
func (h *Hold) reserve(n int64, use Use) bool {
	if h == nil {
		return true
	}
	b := h.account.budget
	var timeout <-chan time.Time
	for {
		missing, released := h.try(n, use)
		if missing == 0 {
			return true
		}
		if timeout == nil {
			if !b.makeRoom(h.account, missing) {
				break
			}
			timer := time.NewTimer(releaseWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
			continue
		case <-timeout:
		}
		break
	}
	b.Stats.Refused.Add(1)
	return false
}

// try reserves n bytes, or returns how many are missing and a channel that is closed at the next release.
func (h *Hold) try(n int64, use Use) (missing int64, released <-chan struct{}) {
	b := h.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.held+n > SmallBytes {
		use = Large
	}
	missing = b.limits.missing(b.used, n, use)
	if missing == 0 {
		h.change(n)
		return 0, nil
	}
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return missing, b.released
}

// Add reserves n bytes that are needed in any case, also beyond the bound.
func (h *Hold) Add(n int64) {
	if h == nil {
		return
	}
	h.account.budget.mu.Lock()
	defer h.account.budget.mu.Unlock()
	h.change(n)
}

// Release releases n bytes.
func (h *Hold) Release(n int64) {
	if h == nil || n == 0 {
		return
	}
	h.account.budget.mu.Lock()
	defer h.account.budget.mu.Unlock()
	h.release(n)
}

// Free releases everything.
func (h *Hold) Free() {
	if h == nil {
		return
	}
	h.account.budget.mu.Lock()
	defer h.account.budget.mu.Unlock()
	h.release(h.held)
}

// release is Release with budget.mu held on entry.
func (h *Hold) release(n int64) {
	b := h.account.budget
	h.change(-n)
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// change adds n bytes to what is held. budget.mu is held on entry.
func (h *Hold) change(n int64) {
	b := h.account.budget
	h.held += n
	h.account.held += n
	b.used += n
	b.Stats.Used.Store(b.used)
}

// EvictLongest closes the owner in the middle of a request that has made no progress for longest, and for MinStall at least. It
// returns false when there is none.
func (b *Budget) EvictLongest() bool {
	now := b.clock()
	var owners []Owner
	var stalls []Stall
	b.mu.Lock()
	for a := range b.accounts {
		owners = append(owners, a.owner)
	}
	b.mu.Unlock()
	for _, o := range owners { // owners have locks of their own
		stalls = append(stalls, o.Stalled())
	}
	i := LongestIdle(stalls, now)
	if i < 0 || !owners[i].Evict() {
		return false
	}
	b.Stats.Evicted.Add(1)
	return true
}

// makeRoom closes owners without progress, but for the one that asks, to release the missing bytes. It returns false when that
// would not release enough.
func (b *Budget) makeRoom(asking *Account, missing int64) bool {
	now := b.clock()
	var accounts []*Account
	var holdings []Holding
	b.mu.Lock()
	if b.scanned != 0 && now.Sub(b.scanned) < scanPause && missing > b.found {
		b.mu.Unlock()
		return false
	}
	for a := range b.accounts {
		if a != asking {
			accounts, holdings = append(accounts, a), append(holdings, Holding{Held: a.held})
		}
	}
	b.mu.Unlock()
	for i, a := range accounts { // owners have locks of their own
		holdings[i].Stall = a.owner.Stalled()
	}
	chosen, releasable := ToClose(holdings, missing, now)
	if chosen == nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.scanned, b.found = now, releasable
		return false
	}
	for _, i := range chosen {
		if accounts[i].owner.Evict() {
			b.Stats.Evicted.Add(1)
		}
	}
	return true
}
