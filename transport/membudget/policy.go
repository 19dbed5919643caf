package membudget

import (
	"cmp"
	"slices"
	"time"

	"azurebridge/state"
)

const (
	// reserveFraction is the fraction of the budget that only small holds may use, so that ordinary requests are served while
	// large bodies have used up the rest.
	reserveFraction = 1.0 / 3
	// SmallBytes is the size up to which a hold may use the reserve, in bytes: a request with a body of 64 KiB needs 56 KiB for
	// its goroutines, connections and copies, and 96 KiB while the body's buffer grows for the last time.
	SmallBytes = 160 << 10
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
	ForCaller                 // for the rest of a request, or for the caller to accept an answer
)

// Stall states what an owner waits for, and since when it has made no progress.
type Stall struct {
	Waiting Waiting
	Since   state.Instant
}

// limits are the bounds of a budget in bytes. A total of 0 sets none.
type limits struct{ total, reserve int64 }

func newLimits(total int64) limits { return limits{total, int64(float64(total) * reserveFraction)} }

// missing returns how many bytes must be released before n more may be reserved; 0 when that is allowed now. Only small
// holds may use the reserve.
func (l limits) missing(used, n int64, small bool) int64 {
	bound := l.total
	if !small {
		bound -= l.reserve
	}
	if l.total == 0 {
		return 0
	}
	return max(0, used+n-bound)
}

// Holding is an owner's part of the budget.
type Holding struct {
	Stall
	Held int64
}

// LongestIdle returns the index of the owner that is closed so that another one can be accepted: one that waits for a request
// before one in the middle of a request that has made no progress for MinStall, and of these the one that has waited longest. It
// returns -1 when there is none.
func LongestIdle(stalls []Stall, now state.Instant) int {
	best := -1
	for i, s := range stalls {
		if s.Waiting == ForNothing || s.Waiting == ForCaller && now.Sub(s.Since) < MinStall {
			continue
		}
		if best < 0 || s.Waiting < stalls[best].Waiting || s.Waiting == stalls[best].Waiting && s.Since < stalls[best].Since {
			best = i
		}
	}
	return best
}

// ToClose returns the indexes of the owners that are closed to release the missing bytes: those in the middle of a request that
// have made no progress for MinStall, the longest first, and then those that wait for a request. It returns nil when closing
// all of them would not release enough.
func ToClose(holdings []Holding, missing int64, now state.Instant) []int {
	var order []int
	for i, h := range holdings {
		if h.Held > 0 && (h.Waiting == ForRequest || h.Waiting == ForCaller && now.Sub(h.Since) >= MinStall) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := holdings[a], holdings[b]
		if x.Waiting != y.Waiting {
			return int(y.Waiting - x.Waiting)
		}
		return cmp.Compare(x.Since, y.Since)
	})
	for n, i := range order {
		if missing -= holdings[i].Held; missing <= 0 {
			return order[:n+1]
		}
	}
	return nil
}
