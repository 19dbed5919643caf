package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// CustomerBound turns the quota of a customer into a bound on its requests that reach backend servers in any span of Window, over
// all instances. Without a Window there is no bound.
type CustomerBound struct {
	Window    time.Duration
	Overage   float64 // part of a quota by which it may be exceeded
	Tolerance float64 // requests in addition
	maxOwners int     // replaces the constant in simulations; 0 leaves it
}

// Times and parts of a bound.
const (
	// permitLife is how long after it was asked for a permit may be used. A longer one would let owners issue less in a second,
	// since what they issued in one window may arrive in the next.
	permitLife = 400 * time.Millisecond
	// MaxTransit is how long after the use of a permit the request reaches a backend server at the latest.
	MaxTransit = 300 * time.Millisecond
	// issuedPart and ownPart are the parts of a bound that owners issue, and that instances which reach no owner use together. The
	// rest covers lists of instances that differ for a moment.
	issuedPart = 0.93
	ownPart    = 0.05
	// storedPart is the part of its share that an owner stores in a calm spell and may issue at once. The rest is its steady rate.
	storedPart = 0.1
	// minStored is the number of permits that an owner of a small customer stores if that is at most half of its share: requests
	// come in irregular succession.
	minStored = 3
	// maxOwners is the number of owners of a large customer. One that fails takes its share along until it is replaced; with 6, the
	// others cover the usual demand, which is 0.62 of a rate.
	maxOwners = 6
	// minOwnerShare is the number of requests in a window from which another owner is worthwhile: an owner issues whole permits.
	minOwnerShare = 10
)

// Binds reports whether the requests of a customer with the quota are bounded.
func (b CustomerBound) Binds(q routing.Quota) bool { return b.Window > 0 && q.Limited() }

// Requests returns the max number of requests in any span of Window.
func (b CustomerBound) Requests(q routing.Quota) float64 {
	return (q.Rate*b.Window.Seconds()+q.Burst)*(1+b.Overage) + b.Tolerance
}

// span is the span of time in which permits are issued that may arrive within one Window.
func (b CustomerBound) span() time.Duration { return b.Window + permitLife + MaxTransit }

// issued returns the number of permits that all owners may issue in any span.
func (b CustomerBound) issued(q routing.Quota) float64 { return issuedPart * b.Requests(q) }

// owners returns the number of owners of a customer.
func (b CustomerBound) owners(q routing.Quota) int {
	return min(cmp.Or(b.maxOwners, maxOwners), max(1, int(b.issued(q)/minOwnerShare)))
}

// Owners returns the owners of a customer among the live instances: those with the highest rendezvous scores, evenly from all
// regions, so that each instance has one near. Scores are weighted with the bandwidth of the instances' links, as larger instances
// can answer more requests for permits.
func (b CustomerBound) Owners(c *routing.Customer, peers []routing.Peer) []routing.Peer {
	k := b.owners(c.Quota)
	key := "quota " + string(c.Name)
	var regions [][]scoredPeer // of each region the first k, by score
	for i := range peers {
		p := &peers[i]
		if p.PeerAddress == "" {
			continue
		}
		r := slices.IndexFunc(regions, func(list []scoredPeer) bool { return list[0].Region == p.Region })
		if r < 0 {
			r, regions = len(regions), append(regions, nil)
		}
		s := scoredPeer{float64(max(1, p.LinkMbps)) / -math.Log(state.RendezvousFraction(key, string(p.Name))), p}
		if at, _ := slices.BinarySearchFunc(regions[r], s, compareScored); at < k {
			regions[r] = slices.Insert(regions[r], at, s)[:min(k, len(regions[r])+1)]
		}
	}
	slices.SortFunc(regions, func(a, b []scoredPeer) int { return compareScored(a[0], b[0]) })
	out := make([]routing.Peer, 0, k)
	for rank := 0; rank < k && len(out) < k; rank++ {
		for _, list := range regions {
			if rank < len(list) && len(out) < k {
				out = append(out, *list[rank].Peer)
			}
		}
	}
	return out
}

// scoredPeer is an instance with its rendezvous score for a customer.
type scoredPeer struct {
	score float64
	*routing.Peer
}

// compareScored orders instances by falling score, then by name.
func compareScored(a, b scoredPeer) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
}

// OwnPace returns how many requests of a customer an instance may send that reaches no owner. instances is the number of
// instances. Where there is less than one request for each in a span, only the first by hash have one.
func (b CustomerBound) OwnPace(c *routing.Customer, self state.InstanceName, peers []routing.Peer, instances int) Pace {
	total := ownPart * b.Requests(c.Quota)
	if instances = max(instances, len(peers)); instances == 0 {
		return Pace{}
	}
	if each := int(total) / instances; each >= 1 {
		parts := (each + MaxPaceCount - 1) / MaxPaceCount
		return Pace{Count: each / parts, Per: b.span() / time.Duration(parts)}
	}
	names := make([]state.InstanceName, len(peers))
	for i, p := range peers {
		names[i] = p.Name
	}
	if !IsSender(self, names, state.BackendName("own "+string(c.Name)), int(total)) {
		return Pace{}
	}
	return Pace{Count: 1, Per: b.span()}
}
