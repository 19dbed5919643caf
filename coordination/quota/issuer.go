package quota

import (
	"slices"
	"strings"
	"time"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// MaxBatch bounds the permits of one request for permits, MaxRefusal the time of a refusal.
const (
	MaxBatch   = 64
	MaxRefusal = 5 * time.Second
)

// Times of an issuer.
const (
	// takeOverDelay is how long an instance that becomes an owner, or whose share grows, issues nothing more: until then an
	// earlier owner may not know the change. Instances in contact know each change within that time. An instance that restarts while
	// it is listed has been an owner all along and does not wait.
	takeOverDelay = 3 * time.Second
	// apartAfter is the time without an answer of the store after which an instance may soon be missing from the lists of the
	// others. It is shorter than the lease of an instance's entry.
	apartAfter = 3 * time.Second
	// heardFor is how long a message of an instance without the store counts. It covers more than two rounds of such messages.
	heardFor = 6 * time.Second
	// leftRetention is how long instances that have left the list count as apart, and still using their part of each quota.
	leftRetention = 5 * time.Minute
	// apartLimit is the time without the store after which an owner issues nothing. It ends before leftRetention.
	apartLimit = 280 * time.Second
	// settleTime is how long the store must have answered a process before the process relies on the number of instances that it has
	// seen. One that is cut off earlier, after a power loss of all, may have seen only some of them. It issues permits only while it
	// hears from at least unsettledPart of the listed instances, and from none that is not listed: the list is then complete.
	settleTime    = 10 * time.Second
	unsettledPart = 0.9
	// unsettledMin is the min number of instances, with this one, that must be in contact for that: two that do not list each other
	// hear nothing of each other.
	unsettledMin = 3
	// recentSlots is the number of slots, of takeOverDelay in all and one more, for the lowest recent fraction.
	recentSlots = 7
	// tickInterval is the min time between two calculations of the fraction, which take a look-up for each instance that is heard. A
	// request for permits would otherwise cause one.
	tickInterval = 50 * time.Millisecond
	slotLength   = takeOverDelay / (recentSlots - 1)
)

// Ask is a request for permits.
type Ask struct {
	ID       uint64 // chosen at random by the asking instance
	From     state.InstanceName
	Customer state.CustomerName
	Count    int
}

// Granted is the answer to an Ask. With a Count of 0, RetryAfter is when the owner is likely to have a permit again.
type Granted struct {
	ID         uint64
	Count      int
	NotOwner   bool // the instance is no owner of the customer, or does not issue permits for it yet
	RetryAfter time.Duration
}

// Issuer issues permits for the customers that an instance is an owner of. Each owner has an equal share of what may be issued.
//
// When the list of instances shrinks, those that are missing may have failed, or may be cut off and still issue permits to each
// other. An owner therefore issues only the fraction of its share that its side of a possible partition has of all instances: the
// listed ones while the store answers, or those without the store that it hears from. The fractions of all sides sum up to at most 1.
//
// It belongs to the control goroutine.
type Issuer struct {
	self       state.InstanceName
	bound      CustomerBound
	peers      []routing.Peer
	peak       int // highest number of instances within leftRetention
	peakAt     state.Instant
	contactAt  state.Instant // first answer of the store; 0 before
	listed     time.Duration // how long the instance had been listed when the process started, for its first buckets
	buckets    map[state.CustomerName]*bucket
	heard      map[state.InstanceName]state.Instant
	slot       int64         // number of the newest slot
	tickedAt   state.Instant // last calculation of the fraction, and whether the store answered then
	tickedNear bool
	recent     [recentSlots]float64
	fraction   float64 // in force
	// Broken variants for tests.
	fullStart bool // new buckets hold the whole share of a window
	wholeSide bool // partitions are ignored
	trustNew  bool // a new process relies on the list that it has, without the store
	skipYoung bool // a process does not wait if its instance had been listed for any time
	skipWait  bool // buckets of a new process do not wait, though another instance may have been the owner
}

// bucket is a token bucket for one customer.
type bucket struct {
	quota    routing.Quota
	share    float64 // of all that owners issue
	raised   float64 // takes the place of share at raiseAt, when that is not 0
	raiseAt  state.Instant
	level    float64 // permits at the time at
	at       state.Instant
	granted  uint64
	refusals uint64
	queueEnd state.Instant // when the refused instances have asked again
}

// NewIssuer returns an issuer that is an owner of no customer.
func NewIssuer(self state.InstanceName) *Issuer {
	i := &Issuer{self: self, buckets: make(map[state.CustomerName]*bucket), heard: make(map[state.InstanceName]state.Instant), fraction: 1}
	for s := range i.recent {
		i.recent[s] = 1
	}
	return i
}

// Begin applies how long the instance had been listed when its process started, by the first list that the process knows. If it had
// been listed for takeOverDelay it is still the owner that its earlier process was, and no other one issues permits in its place, so
// that new buckets need not wait. They are empty, as what the earlier process has issued is not known: both together then issue
// what one bucket would. A list that is not from the store may be old. Then the fraction in force grows from 0 like that of a side
// that grows.
func (i *Issuer) Begin(now state.Instant, listed time.Duration, fromStore bool) {
	i.listed = listed
	if i.skipYoung && listed > 0 {
		i.listed = takeOverDelay
	}
	if listed > 0 && !fromStore {
		i.fraction, i.recent = 0, [recentSlots]float64{}
		i.slot = int64(now) / int64(slotLength)
	}
}

// Update applies a list of instances and the customers of a routing table. Buckets of customers that the instance is no owner of any
// more are dropped; new ones are empty.
func (i *Issuer) Update(now state.Instant, bound CustomerBound, peers []routing.Peer, customers []routing.Customer) {
	i.settleAll(now)
	i.bound, i.peers, i.tickedAt = bound, peers, 0
	if n := len(peers); n >= i.peak || now.Sub(i.peakAt) >= leftRetention {
		i.peak, i.peakAt = n, now
	}
	kept := make(map[state.CustomerName]*bucket, len(i.buckets))
	for n := range customers {
		c := &customers[n]
		if !bound.Binds(c.Quota) {
			continue
		}
		owners := bound.Owners(c, peers)
		if !slices.ContainsFunc(owners, func(p routing.Peer) bool { return p.Name == i.self }) {
			continue
		}
		b := i.buckets[c.Name]
		share := 1 / float64(len(owners))
		if b == nil {
			b = &bucket{share: share, at: now.Add(max(0, takeOverDelay-i.listed))}
			if i.skipWait {
				b.at = now
			}
			if i.fullStart {
				b.at, b.quota = now, c.Quota
				b.level = bound.issued(c.Quota) * share
			}
		}
		b.quota = c.Quota
		b.setShare(now, share)
		kept[c.Name] = b
	}
	i.buckets = kept
	if len(customers) > 0 || !containsPeer(peers, i.self) {
		i.listed = 0 // later buckets are new
	}
	i.settleAll(now)
}

// setShare applies a lower share at once and a higher one after takeOverDelay.
func (b *bucket) setShare(now state.Instant, share float64) {
	switch {
	case share <= b.share:
		b.share, b.raiseAt = share, 0
	case b.raiseAt == 0 || share != b.raised:
		b.raised, b.raiseAt = share, now.Add(takeOverDelay)
	}
}

// Hear records a message of an instance that the store does not answer.
func (i *Issuer) Hear(now state.Instant, from state.InstanceName) { i.heard[from] = now }

// Tick takes into account how long ago the store last answered. It is due at least each half second.
func (i *Issuer) Tick(now state.Instant, away time.Duration) {
	if len(i.peers) == 0 {
		return // no bucket, and a fraction of 0 would count for takeOverDelay after the first list
	}
	near := away <= apartAfter
	if i.tickedAt != 0 && now.Sub(i.tickedAt) < tickInterval && near == i.tickedNear {
		return
	}
	i.tickedAt, i.tickedNear = now, near
	i.countUnlisted(now)
	fraction := i.sideFraction(now, away)
	number := int64(now) / int64(slotLength)
	for ; i.slot < number; i.slot++ {
		if number-i.slot > recentSlots {
			i.slot = number - recentSlots
		}
		i.recent[(i.slot+1)%recentSlots] = fraction
	}
	newest := &i.recent[number%recentSlots]
	*newest = min(*newest, fraction)
	if lowest := slices.Min(i.recent[:]); lowest != i.fraction {
		i.settleAll(now)
		i.fraction = lowest
		i.settleAll(now)
	}
}

// countUnlisted takes into account instances that have lost the store before this process began, and that no list had since.
func (i *Issuer) countUnlisted(now state.Instant) {
	if i.trustNew {
		return
	}
	n := len(i.peers)
	for name, at := range i.heard {
		if name != i.self && now.Sub(at) <= heardFor && !containsPeer(i.peers, name) {
			n++
		}
	}
	if n > i.peak {
		i.peak, i.peakAt = n, now
	}
}

// sideFraction returns the part of all instances that this one's side of a possible partition has at least.
func (i *Issuer) sideFraction(now state.Instant, away time.Duration) float64 {
	if i.wholeSide {
		return 1
	}
	if away <= apartAfter {
		if i.contactAt == 0 {
			i.contactAt = now
		}
		return float64(len(i.peers)) / float64(max(i.peak, len(i.peers)))
	}
	if away > apartLimit {
		return 0
	}
	side, unlisted := 1, false // this instance
	for name, at := range i.heard {
		switch {
		case now.Sub(at) > heardFor:
			delete(i.heard, name)
		case name == i.self:
		case containsPeer(i.peers, name):
			side++
		default:
			unlisted = true
		}
	}
	unsettled := i.contactAt == 0 || now.Sub(i.contactAt)-away < settleTime
	if unsettled && (unlisted || float64(side) < max(unsettledMin, unsettledPart*float64(len(i.peers)))) && !i.trustNew {
		return 0
	}
	return float64(side) / float64(max(i.peak, len(i.peers)))
}

// refill returns the permits/s and the max level of a bucket. In any span of the bound they allow no more than the owner's share.
func (i *Issuer) refill(b *bucket) (rate, stored float64) {
	share := i.bound.issued(b.quota) * b.share * i.fraction
	if !i.bound.Binds(b.quota) || share < 1 {
		return 0, 0
	}
	stored = max(1, storedPart*share, min(minStored, share/2))
	return (share - stored) / i.bound.span().Seconds(), stored
}

// settle brings the level of a bucket up to date.
func (i *Issuer) settle(now state.Instant, b *bucket) {
	if b.raiseAt != 0 && !now.Before(b.raiseAt) {
		b.share, b.raiseAt = b.raised, 0
	}
	rate, stored := i.refill(b)
	if b.at.Before(now) {
		b.level += rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	if !i.fullStart {
		b.level = min(b.level, stored)
	}
}

func (i *Issuer) settleAll(now state.Instant) {
	for _, b := range i.buckets {
		i.settle(now, b)
	}
}

// Grant answers a request for permits. away is how long ago the store last answered.
func (i *Issuer) Grant(now state.Instant, away time.Duration, ask Ask) Granted {
	i.Tick(now, away)
	b := i.buckets[ask.Customer]
	if b == nil {
		return Granted{ID: ask.ID, NotOwner: true}
	}
	if now.Before(b.at) {
		return Granted{ID: ask.ID, NotOwner: true}
	}
	i.settle(now, b)
	count := min(ask.Count, MaxBatch, int(b.level))
	if count <= 0 {
		b.refusals++
		return Granted{ID: ask.ID, RetryAfter: i.queueTime(now, b, min(ask.Count, MaxBatch))}
	}
	b.level -= float64(count)
	b.granted += uint64(count)
	return Granted{ID: ask.ID, Count: count}
}

// queueTime returns the time until a bucket has a permit again for an instance that asks for count of them now. Refused instances get
// successive times at the pace of the refill, so that they do not all ask again for the same permit.
func (i *Issuer) queueTime(now state.Instant, b *bucket, count int) time.Duration {
	rate, _ := i.refill(b)
	if rate <= 0 {
		return i.bound.Window
	}
	first := max(now, b.at).Add(seconds((1 - b.level) / rate))
	at := min(max(first, b.queueEnd), now.Add(MaxRefusal))
	b.queueEnd = at.Add(seconds(float64(max(1, count)) / rate))
	return at.Sub(now)
}

// BucketState describes a bucket for operators.
type BucketState struct {
	Customer state.CustomerName
	Level    float64 // permits that could be issued now
	Stored   float64 // max level
	PerS     float64 // permits/s
	Granted  uint64
	Refused  uint64  // requests for permits
	Share    float64 // of all that the customer's owners issue
	Fraction float64 // of the share that is in force
}

// Buckets returns the buckets, sorted by customer.
func (i *Issuer) Buckets(now state.Instant) []BucketState {
	i.settleAll(now)
	out := make([]BucketState, 0, len(i.buckets))
	for name, b := range i.buckets {
		rate, stored := i.refill(b)
		out = append(out, BucketState{name, b.level, stored, rate, b.granted, b.refusals, b.share, i.fraction})
	}
	slices.SortFunc(out, func(a, b BucketState) int { return strings.Compare(string(a.Customer), string(b.Customer)) })
	return out
}
