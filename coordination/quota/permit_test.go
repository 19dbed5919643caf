package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// simCustomers returns a large and a small customer.
func simCustomers() []routing.Customer {
	return []routing.Customer{
		{Name: "large", Quota: routing.Quota{Rate: 120, Burst: 60}},
		{Name: "small", Quota: routing.Quota{Rate: 2, Burst: 2}},
		{Name: "free"},
	}
}

// disturb changes one thing at random.
func (s *permitSim) disturb() {
	i := s.instances[s.random.IntN(len(s.instances))]
	switch s.random.IntN(15) {
	case 0: // an owner or another instance ends, and returns later
		s.kill(i)
		s.after(s.upTo(8*time.Second), func() { s.restart(i) })
	case 1:
		s.kill(i)
		s.restart(i)
	case 2: // power loss of all
		for _, i := range s.instances {
			s.kill(i)
			s.after(s.upTo(2*time.Second), func() { s.restart(i) })
		}
	case 3: // an instance reaches nobody
		i.side = 1 + s.random.IntN(1000)
		s.after(s.upTo(15*time.Second), func() { i.side = 0 })
	case 4: // partition
		for _, i := range s.instances {
			if s.random.IntN(3) == 0 {
				i.side = -1
			}
		}
		s.after(s.upTo(15*time.Second), func() {
			for _, i := range s.instances {
				i.side = 0
			}
		})
	case 5: // a region is cut off
		for _, o := range s.instances {
			if o.peer.Region == i.peer.Region {
				o.side = -2
			}
		}
		s.after(s.upTo(15*time.Second), func() {
			for _, i := range s.instances {
				i.side = 0
			}
		})
	case 6:
		i.noStore = true
		s.after(s.upTo(15*time.Second), func() { i.noStore = false })
	case 7:
		s.storeAway = true
		s.after(s.upTo(12*time.Second), func() { s.storeAway = false })
	case 8:
		s.loss = 0.3 * s.random.Float64()
		s.after(s.upTo(8*time.Second), func() { s.loss = 0 })
	case 9:
		s.slow = true
		s.after(s.upTo(8*time.Second), func() { s.slow = false })
	case 10: // demand moves
		for _, i := range s.instances {
			i.weight = 0.05 + s.random.ExpFloat64()
		}
	case 11: // many instances are killed at once and restart, some of them twice
		for _, i := range s.instances {
			if s.random.IntN(2) == 0 {
				s.kill(i)
				s.after(s.upTo(time.Second), func() { s.restart(i) })
				if s.random.IntN(2) == 0 {
					s.after(time.Second+s.upTo(3*time.Second), func() { s.kill(i); s.restart(i) })
				}
			}
		}
	case 12:
		s.rollingRestart(len(s.instances)/2, 1+s.random.IntN(6), s.upTo(2*time.Second))
	case 13: // the owners restart one after the other while the store does not answer
		s.storeAway = true
		s.after(s.upTo(12*time.Second), func() { s.storeAway = false })
		for n, o := range s.bound.Owners(&s.customers[0], s.list()) {
			s.after(time.Duration(n)*s.upTo(2*time.Second), func() { s.kill(s.byName[o.Name]); s.restart(s.byName[o.Name]) })
		}
	case 14: // a quota changes
		c := s.random.IntN(2)
		old := s.customers[c].Quota
		s.customers = append([]routing.Customer(nil), s.customers...)
		s.customers[c].Quota.Rate = simCustomers()[c].Quota.Rate * (0.3 + 0.7*s.random.Float64())
		if s.customers[c].Quota != old {
			s.version++
			s.state[c].quotas = append(s.state[c].quotas, datedQuota{s.version, 0, s.customers[c].Quota})
		}
	}
}

func (s *permitSim) restart(i *simInstance) {
	if i.process == 0 {
		s.start(i)
	}
}

// startAll starts all instances and lets them run until the buckets are in use.
func (s *permitSim) startAll() {
	for _, i := range s.instances {
		s.start(i)
	}
	s.run(10 * time.Second)
	s.messages = 0
}

// Guards against customers that get more requests to backend servers than their quota allows in some window, while instances end
// and restart, are cut off from each other or the store, datagrams are lost and late, demand moves and quotas change. Customers
// send up to 7 times their usual demand.
func TestCustomersStayUnderTheirQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newPermitSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 40).Draw(t, "instances"), rapid.IntRange(1, 4).Draw(t, "regions"), simCustomers())
		s.fastStart = rapid.Bool().Draw(t, "fast start")
		s.retries = rapid.Bool().Draw(t, "retries")
		faults := rapid.Float64Range(0.2, 4).Draw(t, "seconds between faults")
		s.startAll()
		factor := rapid.SampledFrom([]float64{1, 2, 7}).Draw(t, "factor")
		for _, m := range s.state {
			m.demand *= factor
		}
		for _, c := range []int{0, 1} {
			s.load(c, s.now.Add(30*time.Second))
		}
		for range int(30 / faults) {
			if broken := s.run(time.Duration(faults * float64(time.Second))); broken != "" {
				t.Fatal(broken)
			}
			s.disturb()
		}
	})
}

// Guards against a check that finds nothing: each broken variant exceeds a quota in its scenario, and the true one does not.
func TestTheCheckFindsExceededQuotas(t *testing.T) {
	const seeds = 3
	for _, c := range []struct {
		name      string
		instances int
		breakSim  func(*permitSim)
		scenario  func(*permitSim) string
	}{
		{"owners that start with a full share", 18, func(s *permitSim) { s.fullStart = true }, restartingOwners},
		{"permits that never end", 150, func(s *permitSim) { s.keepForever = true }, wanderingDemand},
		{"new owners that do not wait", 108, func(s *permitSim) { s.skipWait = true }, joiningOwners},
		{"new owners that restart and do not wait", 108, func(s *permitSim) { s.skipYoung = true }, restartingJoiners},
		{"new processes that rely on part of a list", 48, func(s *permitSim) { s.trustNew = true }, partialLists},
		{"owners that ignore partitions", 18, func(s *permitSim) { s.wholeSide = true }, partitions},
	} {
		found := 0
		for seed := range uint64(seeds) {
			s := newPermitSim(seed, c.instances, 3, simCustomers())
			if broken := c.scenario(s); broken != "" {
				t.Errorf("without a fault, in the scenario of %s, seed %d: %s", c.name, seed, broken)
			}
			s = newPermitSim(seed, c.instances, 3, simCustomers())
			c.breakSim(s)
			if c.scenario(s) != "" {
				found++
			}
		}
		t.Logf("%s: found with %d of %d seeds", c.name, found, seeds)
		if found < 2 {
			t.Errorf("%s: found with %d of %d seeds", c.name, found, seeds)
		}
	}
}

// restartingOwners lets owners of the large customer, which sends 7 times its usual demand, end and start again.
func restartingOwners(s *permitSim) string {
	s.startAll()
	s.state[0].demand *= 7
	s.load(0, s.now.Add(30*time.Second))
	for range 25 {
		if broken := s.run(time.Second); broken != "" {
			return broken
		}
		owners := s.bound.Owners(&s.customers[0], s.list())
		for _, i := range s.instances {
			if len(owners) > 0 && i.peer.Name == owners[s.random.IntN(len(owners))].Name {
				s.kill(i)
				s.restart(i)
			}
		}
	}
	return s.broken
}

// joiningOwners starts instances with wider and wider links, which become the owners in place of running ones, while the large
// customer sends 7 times its usual demand. Half of the others learn of each change early, half late.
func joiningOwners(s *permitSim) string { return s.joinOwners(false) }

// restartingJoiners is the same with instances that are killed and start again as soon as they have joined.
func restartingJoiners(s *permitSim) string { return s.joinOwners(true) }

func (s *permitSim) joinOwners(restart bool) string {
	first := len(s.instances) / 2
	for n, i := range s.instances {
		i.listDelay = simListDelay * 3 / 4
		if n < first && n%2 == 0 {
			i.listDelay = time.Millisecond
		}
	}
	for _, i := range s.instances[:first] {
		s.start(i)
	}
	s.fastStart = true
	s.run(10 * time.Second)
	s.state[0].demand *= 7
	s.load(0, s.now.Add(time.Minute))
	for link := 100; first < len(s.instances); link *= 50 {
		for _, i := range s.instances[first : first+maxOwners] {
			i.peer.LinkMbps = link
			s.start(i)
			if restart {
				s.after(250*time.Millisecond, func() { s.kill(i); s.restart(i) })
			}
		}
		first += maxOwners
		if broken := s.run(1200 * time.Millisecond); broken != "" {
			return broken
		}
	}
	return s.run(5 * time.Second)
}

// partialLists starts all instances one after the other when their entries have ended, and takes the store away while each has read
// another part of the list. Later ones have wider links and are owners where they are known. The large customer sends 7 times its
// usual demand.
func partialLists(s *permitSim) string {
	s.fastStart = true
	for n, i := range s.instances {
		i.peer.LinkMbps = int(10 * math.Pow(1.4, float64(n)))
		i.listDelay = simListDelay * 3 / 4
		s.after(time.Duration(n)*15*time.Millisecond, func() { s.start(i) })
	}
	s.run(time.Duration(len(s.instances)) * 15 * time.Millisecond)
	s.storeAway = true
	s.state[0].demand *= 7
	s.load(0, s.now.Add(20*time.Second))
	return s.run(20 * time.Second)
}

// wanderingDemand moves all requests of the large customer from instance to instance, and then spreads them over all.
func wanderingDemand(s *permitSim) string {
	s.startAll()
	s.leasesEnd = false // the list of instances stays as it is
	s.state[0].demand *= 1.3
	s.load(0, s.now.Add(time.Duration(len(s.instances))*time.Second))
	for at := range s.instances {
		for n, i := range s.instances {
			i.weight = 0
			if n == at {
				i.weight = 1
			}
		}
		if broken := s.run(time.Second); broken != "" {
			return broken
		}
	}
	for _, i := range s.instances {
		i.weight = 1
	}
	s.state[0].demand *= 9
	s.load(0, s.now.Add(5*time.Second))
	return s.run(6 * time.Second)
}

// partitions divides the instances at random, again and again, while the large customer sends 7 times its usual demand.
func partitions(s *permitSim) string {
	s.startAll()
	s.state[0].demand *= 7
	s.load(0, s.now.Add(100*time.Second))
	for range 4 {
		for _, i := range s.instances {
			i.side = -s.random.IntN(2)
		}
		if broken := s.run(16 * time.Second); broken != "" {
			return broken
		}
		for _, i := range s.instances {
			i.side = 0
		}
		if broken := s.run(8 * time.Second); broken != "" {
			return broken
		}
	}
	return s.broken
}

// Guards against refusals of customers that stay below their quotas, while callers move between instances.
func TestUsualDemandIsServed(t *testing.T) {
	for _, instances := range []int{2, 12, 40, 127} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			s := newPermitSim(uint64(instances), instances, 3, simCustomers())
			s.startAll()
			for _, c := range []int{0, 1} {
				s.load(c, s.now.Add(30*time.Second))
			}
			for range 10 {
				s.run(3 * time.Second)
				for _, i := range s.instances {
					i.weight = 0.05 + s.random.ExpFloat64()*s.random.ExpFloat64()
				}
			}
			for c, m := range s.state[:2] {
				t.Logf("%s: %d of %d requests refused, %d messages, %d permits expired", s.customers[c].Name, m.refused, m.asked, s.messages, s.expired.Load())
				if float64(m.refused) > 0.01*float64(m.asked) {
					t.Errorf("%s: %d of %d requests refused", s.customers[c].Name, m.refused, m.asked)
				}
			}
		})
	}
}

// Guards against requests of customers without a quota, or without a window, that are refused or cost messages.
func TestNothingBindsWithoutAQuota(t *testing.T) {
	g := NewWithT(t)
	g.Expect(CustomerBound{Window: time.Second}.Binds(routing.Quota{Burst: 3})).To(BeFalse())
	g.Expect(CustomerBound{Overage: 1, Tolerance: 20}.Binds(routing.Quota{Rate: 3})).To(BeFalse())
	g.Expect(CustomerBound{Window: time.Second}.Binds(routing.Quota{Rate: 3})).To(BeTrue())
}

// Guards against owners that depend on the order of the list, and against a change of owners that do not leave.
func TestOwnersFollowFromTheList(t *testing.T) {
	g := NewWithT(t)
	b := CustomerBound{Window: 5 * time.Second, Tolerance: 20}
	c := &routing.Customer{Name: "large", Quota: routing.Quota{Rate: 50}}
	var peers []routing.Peer
	for n := range 30 {
		peers = append(peers, routing.Peer{
			Name: state.InstanceName(fmt.Sprint("front-", n)), Region: state.RegionName(fmt.Sprint("region-", n%3)), PeerAddress: "x",
		})
	}
	owners := b.Owners(c, peers)
	g.Expect(owners).To(HaveLen(maxOwners))
	regions := map[state.RegionName]bool{}
	for _, o := range owners {
		regions[o.Region] = true
	}
	g.Expect(regions).To(HaveLen(3), "evenly from all regions")
	var reversed, without []routing.Peer
	for n := range peers {
		reversed = append(reversed, peers[len(peers)-1-n])
		if peers[n].Name != owners[1].Name {
			without = append(without, peers[n])
		}
	}
	g.Expect(b.Owners(c, reversed)).To(Equal(owners))
	after := b.Owners(c, without)
	g.Expect(after).To(ContainElements(owners[0], owners[2], owners[3], owners[5]))
	g.Expect(after).NotTo(ContainElement(owners[1]))
}

// Guards against new owners after an outage of the store, when the leases of most instances have ended for a moment, and against
// instances that stay owners after they have left.
func TestInstancesThatDisappearTogetherStayOwnersForAMoment(t *testing.T) {
	g := NewWithT(t)
	var all []routing.Peer
	for n := range 8 {
		all = append(all, routing.Peer{Name: state.InstanceName(fmt.Sprint("front-", n))})
	}
	now := state.Instant(time.Hour)
	var l PeerList
	l.Update(now, all)
	g.Expect(l.Peers(now)).To(Equal(all))
	l.Update(now, all[1:])
	g.Expect(l.Peers(now)).To(Equal(all[1:]), "one instance has left")
	l.Update(now, all[:3])
	g.Expect(l.Peers(now)).To(Equal(all), "the others have disappeared together")
	due, ok := l.Due()
	g.Expect(ok).To(BeTrue())
	g.Expect(due).To(Equal(now.Add(peerGrace)))
	l.Update(now.Add(time.Second), all[:6])
	g.Expect(l.Peers(now.Add(time.Second))).To(Equal(all))
	g.Expect(l.Peers(due)).To(Equal(all[:6]))
	_, ok = l.Due()
	g.Expect(ok).To(BeFalse())
}

// Guards against owners on small instances where there are larger ones: they would spend much of their processor time on the others'
// requests for permits.
func TestOwnersAreMostlyInstancesWithWideLinks(t *testing.T) {
	g := NewWithT(t)
	b := CustomerBound{Window: 5 * time.Second, Tolerance: 20}
	var peers []routing.Peer
	for n := range 127 {
		link := 10
		if n < 12 {
			link = 200
		}
		peers = append(peers, routing.Peer{Name: state.InstanceName(fmt.Sprint("front-", n)), Region: state.RegionName(fmt.Sprint("region-", n%3)), PeerAddress: "x", LinkMbps: link})
	}
	wide, all := 0, 0
	for n := range 82 {
		for _, o := range b.Owners(&routing.Customer{Name: state.CustomerName(fmt.Sprint("customer-", n)), Quota: routing.Quota{Rate: 50}}, peers) {
			all++
			if o.LinkMbps == 200 {
				wide++
			}
		}
	}
	g.Expect(float64(wide) / float64(all)).To(BeNumerically(">", 0.5))
}
