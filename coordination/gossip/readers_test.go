package gossip

import (
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against groups without readers, instances that do not know that they are readers for others, and groups so large that a
// reader has too many instances to relay to.
func TestEachInstanceHasReadersThatKnowTheirRole(t *testing.T) {
	g := NewWithT(t)
	for _, perRegion := range []int{1, 2, 7, 33, 933} {
		v := newView(perRegion, "north", "south")
		served := make(map[state.InstanceName]int)
		readers := 0
		for _, p := range v.Peers {
			list := Readers(v, p.Name, p.Region)
			g.Expect(list).To(HaveLen(min(perRegion, ReadersPerGroup)))
			for _, r := range list {
				g.Expect(r.Region).To(Equal(p.Region))
				g.Expect(IsReader(r.Name, Readers(v, r.Name, r.Region))).To(BeTrue(), "a reader knows that it is one")
				served[r.Name]++
			}
			if IsReader(p.Name, list) {
				readers++
			}
		}
		for name, n := range served {
			g.Expect(n).To(BeNumerically("<=", 2*groupSize), "%s relays to %d", name, n)
		}
		g.Expect(readerCount(v)).To(Equal(readers))
	}
}

// Guards against an instance that has no readers because it has just started and is not listed yet.
func TestUnlistedInstanceHasReaders(t *testing.T) {
	g := NewWithT(t)
	v := newView(3, "north")
	readers := Readers(v, "new", "north")
	g.Expect(readers).To(HaveLen(ReadersPerGroup))
	g.Expect(IsReader("new", readers)).To(BeFalse())
}

// Guards against a group that loses both readers when one failure domain fails.
func TestReadersAreInDifferentDomains(t *testing.T) {
	g := NewWithT(t)
	v := newView(12, "north")
	for i := range v.Peers {
		v.Peers[i].Domain = "north-a"
	}
	for i := range v.Peers {
		v.Peers[i].Domain = "north-b"
		readers := Readers(v, "new", "north")
		if i < len(v.Peers)-1 {
			g.Expect(readers[0].Domain).NotTo(Equal(readers[1].Domain), "%d of 12 in north-b", i+1)
		}
	}
}
