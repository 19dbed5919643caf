package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

func newView(perRegion int, regions ...state.RegionName) *catalog.View {
	v := &catalog.View{}
	for _, r := range regions {
		for i := range perRegion {
			name := state.InstanceName(fmt.Sprintf("%s-%d", r, i))
			v.Peers = append(v.Peers, routing.Peer{Name: name, Region: r, PeerAddress: "10.0.0.1:1"})
		}
	}
	return v
}

// Guards against an instance that sends messages to itself, omits a region, or sends to more than MaxPeers instances.
func TestPeersCoverTheRegionAndEachOther(t *testing.T) {
	g := NewWithT(t)
	randomInt := rand.New(rand.NewPCG(1, 2)).IntN
	for _, perRegion := range []int{1, 4, 74, 933} {
		count := make(map[state.RegionName]int)
		v := newView(perRegion, "north", "south", "west")
		for _, p := range Peers(v, "north-0", "north", randomInt) {
			g.Expect(p.Name).NotTo(Equal(state.InstanceName("north-0")))
			count[p.Region]++
		}
		others := len(allReaders(v, "north"))
		if IsReader("north-0", Readers(v, "north-0", "north")) {
			others--
		}
		g.Expect(count["north"]).To(Equal(min(others, MaxPeers)))
		g.Expect(count["south"]).To(Equal(1))
		g.Expect(count["west"]).To(Equal(1))
	}
}

// Guards against watches of the fleet that all end at the same time, or so often that they overload the store.
func TestWatchesEndAtDifferentTimesAtABoundedRate(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{0, 1, 6, 22, 100, 2800} {
		shortest, longest := ReaderWatchTimeout(n, 0), ReaderWatchTimeout(n, 0.999)
		g.Expect(shortest).To(BeNumerically(">=", minWatchTimeout))
		g.Expect(longest).To(BeNumerically("<=", maxWatchTimeout))
		if n > 2*int(minWatchTimeout/watchEndInterval) && n < 50 {
			g.Expect(longest).To(BeNumerically(">", 2*shortest))
		}
		g.Expect(float64(n)/shortest.Seconds()).To(BeNumerically("<", 250), "calls/s of %d instances", n)
	}
}

// Guards against an instance that watches the store without readers and detects late that its watch missed changes: only readers
// get messages from others. The bound is the shortest time in which a departure must be in force, 2.5 s.
func TestInstanceWithoutReadersRepeatsItsWatchSoon(t *testing.T) {
	g := NewWithT(t)
	v := newView(100, "north", "south")
	readers := Readers(v, "north-0", "north")
	for _, p := range v.Peers {
		if p.Region == "north" && groupOf(p.Name, groupCount(v, "north")) == groupOf("north-0", groupCount(v, "north")) &&
			!IsReader(p.Name, readers) {
			g.Expect(NextWatchTimeout(v, p.Name, "north", 0.999)).To(BeNumerically("<", 2500*time.Millisecond))
		}
	}
	g.Expect(NextWatchTimeout(&catalog.View{}, "north-0", "north", 0.999)).To(BeNumerically("<", 2500*time.Millisecond), "knows no other instance yet")
}

// Guards against trusting a relay for longer than a change may stay unknown.
func TestTrustDecreasesWithTheAgeOfTheStoresAnswer(t *testing.T) {
	g := NewWithT(t)
	g.Expect(RemainingTrust(0)).To(Equal(MaxTrustAge))
	g.Expect(RemainingTrust(MaxContactAge)).To(Equal(MaxTrustAge - MaxContactAge))
	g.Expect(RemainingTrust(time.Hour)).To(BeZero())
	g.Expect(RemainingTrust(-time.Hour)).To(Equal(MaxTrustAge), "a negative age counts as 0")
}

// Guards against readers with so little bandwidth that relayed changes reach their group late.
func TestReadersHaveTheHighestBandwidth(t *testing.T) {
	g := NewWithT(t)
	v := newView(33, "north")
	for i := range v.Peers {
		v.Peers[i].Domain, v.Peers[i].LinkMbps = state.DomainName(fmt.Sprint(i%3)), 10
	}
	for _, i := range []int{9, 12, 20} { // 9 and 12 share a failure domain
		v.Peers[i].LinkMbps = 200
	}
	readers := Readers(v, "north-0", "north")
	g.Expect(readers).To(HaveEach(HaveField("LinkMbps", 200)))
	g.Expect(readers[0].Domain).NotTo(Equal(readers[1].Domain))
}
