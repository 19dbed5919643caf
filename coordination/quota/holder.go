package quota

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// Times of a holder.
const (
	// demandTime is the time over which a customer's recent requests at this instance are averaged.
	demandTime = time.Second
	// batchTime is the time whose expected requests are asked for at once. It is shorter than permitLife, so that few expire.
	batchTime = 300 * time.Millisecond
	// An owner that refused is not asked again for the time that it states, at least minRefusedTime: a customer far over its quota
	// would otherwise cause messages with each request. It is at most maxRefusedTime, or more where there are so many instances that
	// an owner would get more than about refusedAsks requests/s from them for one customer.
	minRefusedTime = 50 * time.Millisecond
	maxRefusedTime = 500 * time.Millisecond
	refusedAsks    = 125
	// An owner that has not answered is left out for silentTime, then for twice as long each time, up to maxSilentTime.
	silentTime    = 300 * time.Millisecond
	maxSilentTime = 2400 * time.Millisecond
	// An answer is awaited for twice the owner's usual time and answerMargin, up to maxAnswerTime. Before the first answer it is
	// firstAnswerTime, a round trip between distant regions and some more.
	answerMargin    = 20 * time.Millisecond
	firstAnswerTime = 120 * time.Millisecond
	maxAnswerTime   = 200 * time.Millisecond
	// minReturnSpread is the min time over which refused callers are spread when they return.
	minReturnSpread = 300 * time.Millisecond
)

// Basis is what the owners of a customer follow from at an instance.
type Basis struct {
	Self      state.InstanceName
	Region    state.RegionName
	Bound     CustomerBound
	Peers     []routing.Peer
	PeersSeen uint64 // changes with Peers
	Instances int    // recent max number of instances
}

// Holder holds the permits of one customer at one instance, and decides which owner is asked for more. It is safe for concurrent use.
type Holder struct {
	mu          sync.Mutex
	customer    routing.Customer
	basis       Basis
	owners      []owner // in the order in which they are asked
	held        []batch // the oldest first
	demand      float64 // requests within demandTime
	demandAt    state.Instant
	prefetch    bool // a batch for later requests is being asked for
	own         Pacer
	ownPace     Pace
	ownFrom     state.Instant  // an earlier process of this instance may have used the own share until then
	exceeded    state.Instant  // time of the last refusal; 0 when none is known
	expired     *atomic.Uint64 // counts permits that were not used in time
	keepForever bool           // a broken variant for tests: permits do not expire
}

// owner is an owner as seen by a holder.
type owner struct {
	routing.Peer
	usual        time.Duration // of its answers; 0 before the first
	refusedUntil state.Instant
	retryAt      state.Instant // when it is likely to have a permit again
	silentUntil  state.Instant
	silences     int // in succession
}

// batch is a number of permits that end together.
type batch struct {
	count int
	until state.Instant
}

// NewHolder returns a holder without permits. started is when the process started, expired counts permits that were not used in time.
func NewHolder(started state.Instant, expired *atomic.Uint64) *Holder {
	return &Holder{ownFrom: started, expired: expired}
}

// Update applies the customer's quota and the list of instances.
func (h *Holder) Update(c *routing.Customer, basis Basis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.basis.PeersSeen == basis.PeersSeen && h.basis.Instances == basis.Instances && h.basis.Bound == basis.Bound &&
		h.customer.Quota == c.Quota && h.customer.Name != "" {
		return
	}
	h.customer, h.basis = routing.Customer{Name: c.Name, Quota: c.Quota}, basis
	earlier := h.owners
	h.owners = nil
	for _, p := range basis.Bound.Owners(c, basis.Peers) {
		o := owner{Peer: p}
		if at := slices.IndexFunc(earlier, func(e owner) bool { return e.Name == p.Name && e.PeerAddress == p.PeerAddress }); at >= 0 {
			o = earlier[at]
		}
		h.owners = append(h.owners, o)
	}
	rank := func(o owner) uint64 {
		return state.RendezvousScore("order "+string(c.Name), string(basis.Self)+" "+string(o.Name))
	}
	slices.SortStableFunc(h.owners, func(a, b owner) int {
		if near := a.Region == basis.Region; near != (b.Region == basis.Region) {
			if near {
				return -1
			}
			return 1
		}
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	h.ownPace = basis.Bound.OwnPace(c, basis.Self, basis.Peers, basis.Instances)
}

// Record counts a request of the customer.
func (h *Holder) Record(now state.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demand = h.recentDemand(now) + 1
	h.demandAt = now
}

// recentDemand returns the requests within demandTime, of which older ones count less. h.mu is held on entry.
func (h *Holder) recentDemand(now state.Instant) float64 {
	return h.demand * math.Exp(-float64(now.Sub(h.demandAt))/float64(demandTime))
}

// Take uses a permit that is held and returns until when it holds. It returns false when there is none.
func (h *Holder) Take(now state.Instant) (until state.Instant, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.held) > 0 {
		first := &h.held[0]
		if first.count > 0 && (now.Before(first.until) || h.keepForever) {
			first.count--
			return first.until, true
		}
		h.expired.Add(uint64(first.count))
		h.held = h.held[1:]
	}
	return 0, false
}

// Return gives back a permit that holds until the given time and whose request reached no backend server.
func (h *Holder) Return(now, until state.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(until) {
		h.held = append(h.held, batch{1, until})
	}
}

// Attempt is a request for permits to an owner.
type Attempt struct {
	Owner    routing.Peer
	Count    int
	At       state.Instant
	Timeout  time.Duration
	prefetch bool
}

// Next returns the next attempt for a request that has asked the given owners, and false when no other owner is to be asked.
func (h *Holder) Next(now state.Instant, asked []state.InstanceName) (Attempt, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n := range h.owners {
		o := &h.owners[n]
		if slices.Contains(asked, o.Name) || now.Before(o.refusedUntil) || now.Before(o.silentUntil) {
			continue
		}
		a := Attempt{Owner: o.Peer, Count: 1, At: now, Timeout: firstAnswerTime}
		if o.usual > 0 {
			a.Timeout = min(maxAnswerTime, 2*o.usual+answerMargin)
		}
		if o.silences > 0 {
			o.silentUntil = now.Add(a.Timeout) // one request finds out whether it answers again
		}
		if extra := int(h.recentDemand(now) * batchTime.Seconds() / demandTime.Seconds()); extra > 0 && !h.prefetch {
			h.prefetch, a.prefetch = true, true
			a.Count = min(MaxBatch, a.Count+extra)
		}
		return a, true
	}
	return Attempt{}, false
}

// Answered applies the answer of an owner and returns until when the request's permit holds, or false when it has none. Further
// permits are held.
func (h *Holder) Answered(now state.Instant, a Attempt, answer Granted) (until state.Instant, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endPrefetch(a)
	if o := h.ownerOf(a); o != nil {
		took := now.Sub(a.At)
		o.silences, o.silentUntil = 0, 0
		if o.usual == 0 {
			o.usual = took
		}
		o.usual += (took - o.usual) / 8
		switch {
		case answer.NotOwner:
			o.silentUntil = now.Add(silentTime) // one of the two lists of instances is outdated
		case answer.Count == 0:
			o.retryAt = now.Add(answer.RetryAfter)
			bound := min(MaxRefusal, max(maxRefusedTime, seconds(float64(len(h.basis.Peers))/refusedAsks)))
			o.refusedUntil = now.Add(min(max(answer.RetryAfter, minRefusedTime), bound))
		}
	}
	until = a.At.Add(permitLife)
	if answer.Count == 0 || !now.Before(until) && !h.keepForever {
		h.expired.Add(uint64(answer.Count))
		return 0, false
	}
	if rest := min(answer.Count, a.Count) - 1; rest > 0 {
		h.held = append(h.held, batch{rest, until})
	}
	return until, true
}

// Silent records that an owner has not answered in time.
func (h *Holder) Silent(now state.Instant, a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endPrefetch(a)
	if o := h.ownerOf(a); o != nil {
		o.silentUntil = now.Add(min(maxSilentTime, silentTime<<min(o.silences, 8)))
		o.silences++
	}
}

// Abandon records that an answer is no longer awaited.
func (h *Holder) Abandon(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endPrefetch(a)
}

func (h *Holder) endPrefetch(a Attempt) {
	if a.prefetch {
		h.prefetch = false
	}
}

func (h *Holder) ownerOf(a Attempt) *owner {
	if n := slices.IndexFunc(h.owners, func(o owner) bool { return o.Name == a.Owner.Name }); n >= 0 {
		return &h.owners[n]
	}
	return nil
}

// Fallback decides on a request that got no permit: when no owner has refused it or others lately, the own share may allow it.
// Otherwise it returns the time after which the caller may return. random is a number from 0 to 1 that spreads callers.
func (h *Holder) Fallback(now state.Instant, refusedBy []state.InstanceName, random float64) (allowed bool, retryAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	refused, wait := false, time.Duration(math.MaxInt64)
	for _, o := range h.owners {
		if now.Before(o.refusedUntil) || slices.Contains(refusedBy, o.Name) {
			refused = true
			wait = min(wait, max(0, o.retryAt.Sub(now)))
		}
	}
	if !refused {
		if now.Sub(h.ownFrom) >= h.basis.Bound.span() && h.own.Allow(now, h.ownPace) {
			return true, 0
		}
		wait = silentTime
	}
	return false, wait + time.Duration(random*float64(max(minReturnSpread, wait)))
}

// Decision is the decision on a request of a customer with a quota.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // when a refused caller may return
	Until      state.Instant // when an owner's permit ends; 0 without one
}

// calmTime is the time without a refusal after which a customer no longer exceeds its quota.
const calmTime = 10 * time.Second

// Exceed records a refusal and reports whether the customer has begun to exceed its quota.
func (h *Holder) Exceed(now state.Instant) (begun bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	begun = h.exceeded == 0
	h.exceeded = now
	return begun
}

// Calm reports whether the customer has ceased to exceed its quota. It reports so once.
func (h *Holder) Calm(now state.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.exceeded == 0 || now.Sub(h.exceeded) < calmTime {
		return false
	}
	h.exceeded = 0
	return true
}
