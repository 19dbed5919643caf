package membudget

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurebridge/state"
)

// Use is what a hold is for. It decides which part of the budget the hold may use up.
type Use int

// Uses of a hold, the one that may use up the least first. Ordinary requests are served while large bodies have used up their part,
// and those that have arrived whole while bodies that are sent slowly, and connections, have used up theirs.
const (
	Large      Use = iota // for a request or an answer that is not small, and for a small one that has grown
	Arriving              // for a small request whose body has not arrived yet
	Connection            // for a connection itself
	Small                 // for a small request that has arrived
)

// fractions of the budget up to which holds may reserve.
var fractions = [...]float64{Large: 2.0 / 3, Arriving: 0.81, Connection: 0.9, Small: 1}

const (
	// SmallBytes is the size up to which a hold may use more than Large, in bytes: a request with a body of 64 KiB needs 72 KiB for
	// its goroutines, connections and copies, and 96 KiB while the body's buffer grows for the last time.
	SmallBytes = 192 << 10
	// maxSmallBody is the announced size up to which a body or an answer is small, in bytes.
	maxSmallBody = 64 << 10
	// MinStall is how long an owner in the middle of a request must have made no progress before it may be closed for others. A
	// lost packet is sent again within a second.
	MinStall = 2 * time.Second
)

// IsSmall reports whether a body or an answer of the announced size may use the reserve; -1 stands for an unknown size. The first
// bytes of a large one may not, because many of them would use up the reserve.
func IsSmall(announced int64) bool { return announced >= 0 && announced <= maxSmallBody }

// Waiting is what an owner waits for.
type Waiting int

// What an owner waits for.
const (
	ForNothing Waiting = iota // for nothing that its caller does, so that it must not be closed
	ForRequest                // for the next request
	ForClose                  // for the caller to close the connection after its last answer
	ForCaller                 // for the rest of a request, or for the caller to accept an answer
)

// Stall states what an owner waits for, and since when it has made no progress.
type Stall struct {
	Waiting Waiting
	Since   state.Instant
}

// limits are the bounds of a budget for each use, in bytes. A total of 0 sets none.
type limits struct {
	total  int64
	bounds [len(fractions)]int64
}

func newLimits(total int64) limits {
	l := limits{total: total}
	for use, fraction := range fractions {
		l.bounds[use] = int64(math.Ceil(float64(total) * fraction))
	}
	return l
}

// missing returns how many bytes must be released before n more may be reserved for the use; 0 when that is allowed now.
func (l limits) missing(used, n int64, use Use) int64 {
	if l.total == 0 {
		return 0
	}
	return max(0, used+n-l.bounds[use])
}

// Holding is an owner's part of the budget.
type Holding struct {
	Stall
	Held int64
}

// MayClose reports whether an owner may be closed for another one.
func (s Stall) MayClose(now state.Instant) bool {
	return s.Waiting == ForRequest || s.Waiting == ForClose || s.Waiting == ForCaller && now.Sub(s.Since) >= MinStall
}

// LongestIdle returns the index of the owner that is closed so that another one can be accepted: one that waits to be closed before
// one that waits for a request, then one in the middle of a request that has made no progress for MinStall, and of these the one
// that has waited longest. It returns -1 when there is none.
func LongestIdle(stalls []Stall, now state.Instant) int {
	ranks := map[Waiting]int{ForClose: 0, ForRequest: 1, ForCaller: 2}
	best := -1
	for i, s := range stalls {
		if !s.MayClose(now) {
			continue
		}
		if best < 0 || cmp.Or(cmp.Compare(ranks[s.Waiting], ranks[stalls[best].Waiting]), cmp.Compare(s.Since, stalls[best].Since)) < 0 {
			best = i
		}
	}
	return best
}

// ToClose returns the indexes of the owners that are closed to release the missing bytes: those in the middle of a request that
// have made no progress for MinStall, the longest first, then those that wait to be closed and those that wait for a request. When
// closing all of them would not release enough, it returns nil. releasable is what closing all of them would release.
func ToClose(holdings []Holding, missing int64, now state.Instant) (chosen []int, releasable int64) {
	var order []int
	for i, h := range holdings {
		if h.Held > 0 && h.MayClose(now) {
			order = append(order, i)
			releasable += h.Held
		}
	}
	if releasable < missing {
		return nil, releasable
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := holdings[a], holdings[b]
		return cmp.Or(int(y.Waiting-x.Waiting), cmp.Compare(x.Since, y.Since))
	})
	for n, i := range order {
		if missing -= holdings[i].Held; missing <= 0 {
			return order[:n+1], releasable
		}
	}
	return order, releasable
}
