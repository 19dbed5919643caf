package quota

import (
	"fmt"
	"testing"
	"time"
)

// trouble is a fault at the usual demand.
type trouble struct {
	name  string
	begin func(s *permitSim)
	end   func(s *permitSim) // after 8 s
	// maxRefused is the part of the large customer's requests that may be refused in the 20 s from the beginning of the fault on.
	maxRefused float64
}

func troubles() []trouble {
	return []trouble{
		{"none", func(*permitSim) {}, func(*permitSim) {}, 0.01},
		{"an owner dies", func(s *permitSim) { s.kill(s.ownerOf(0)) }, func(*permitSim) {}, 0.01},
		{"an owner restarts", func(s *permitSim) { i := s.ownerOf(0); s.kill(i); s.restart(i) }, func(*permitSim) {}, 0.01},
		{"the store is away for 8 s", func(s *permitSim) { s.storeAway = true }, func(s *permitSim) { s.storeAway = false }, 0.01},
		{"the store is away for 2 s", func(s *permitSim) {
			s.storeAway = true
			s.after(2*time.Second, func() { s.storeAway = false })
		}, func(*permitSim) {}, 0.01},
		{"a region is cut off for 8 s", func(s *permitSim) { s.cutRegion(-1) }, func(s *permitSim) { s.cutRegion(0) }, 0.5},
		{"an instance is cut off for 8 s", func(s *permitSim) { s.instances[0].side = 1 }, func(s *permitSim) { s.instances[0].side = 0 }, 0.02},
		{"an instance loses the store for 8 s", func(s *permitSim) { s.instances[0].noStore = true }, func(s *permitSim) { s.instances[0].noStore = false }, 0.01},
		{"a twentieth of the datagrams is lost", func(s *permitSim) { s.loss = 0.05 }, func(s *permitSim) { s.loss = 0 }, 0.01},
		{"all restart", func(s *permitSim) {
			for _, i := range s.instances {
				s.kill(i)
				s.restart(i)
			}
		}, func(*permitSim) {}, 0.5},
	}
}

// ownerOf returns an owner of a customer.
func (s *permitSim) ownerOf(c int) *simInstance {
	return s.byName[s.bound.Owners(&s.customers[c], s.list())[0].Name]
}

// cutRegion moves a region to a side of a partition.
func (s *permitSim) cutRegion(side int) {
	for _, i := range s.instances {
		if i.peer.Region == "region-1" {
			i.side = side
		}
	}
}

// Guards against faults that cost customers below their quotas more requests than the fault explains.
func TestUsualDemandIsServedInTrouble(t *testing.T) {
	for _, f := range troubles() {
		s := newPermitSim(5, 60, 3, simCustomers())
		s.startAll()
		for _, c := range []int{0, 1} {
			s.load(c, s.now.Add(40*time.Second))
		}
		s.run(15 * time.Second)
		large, small := s.state[0], s.state[1]
		large.asked, large.refused, small.asked, small.refused = 0, 0, 0, 0
		f.begin(s)
		broken := s.run(8 * time.Second)
		f.end(s)
		broken += s.run(12 * time.Second)
		t.Logf("%s: large %d of %d refused, small %d of %d, highest part of the bound %.2f", f.name, large.refused, large.asked, small.refused, small.asked, large.peak)
		if broken != "" {
			t.Errorf("%s: %s", f.name, broken)
		}
		if float64(large.refused) > f.maxRefused*float64(large.asked) {
			t.Errorf("%s: %d of %d refused", f.name, large.refused, large.asked)
		}
	}
}

// massTroubles are faults of many instances at once.
func massTroubles() []trouble {
	none := func(*permitSim) {}
	return []trouble{
		{"power loss of all for 1.2 s", func(s *permitSim) {
			for _, i := range s.instances {
				s.kill(i)
				s.after(1200*time.Millisecond+s.upTo(300*time.Millisecond), func() { s.restart(i) })
			}
		}, none, 0.02},
		{"55% are killed and restart within 1 s", func(s *permitSim) {
			for n := range len(s.instances) * 55 / 100 {
				i := s.instances[(n*7)%len(s.instances)]
				s.kill(i)
				s.after(500*time.Millisecond+s.upTo(500*time.Millisecond), func() { s.restart(i) })
			}
		}, none, 0.02},
		{"the store is away for 4.5 s, 45% restart, 6 each 1.3 s", func(s *permitSim) {
			s.storeAway = true
			s.after(4500*time.Millisecond, func() { s.storeAway = false })
			s.rollingRestart(len(s.instances)*45/100, 6, 1300*time.Millisecond)
		}, none, 0.02},
		{"the store is away for 4.5 s", func(s *permitSim) {
			s.storeAway = true
			s.after(4500*time.Millisecond, func() { s.storeAway = false })
		}, none, 0.02},
		{"power loss of all for 1.2 s, and after 4 s the store is away for 4.5 s", func(s *permitSim) {
			for _, i := range s.instances {
				s.kill(i)
				s.after(1200*time.Millisecond+s.upTo(300*time.Millisecond), func() { s.restart(i) })
			}
			s.after(4*time.Second, func() { s.storeAway = true })
			s.after(8500*time.Millisecond, func() { s.storeAway = false })
		}, none, 0.02},
		{"23 restart as planned in 5 s", func(s *permitSim) { s.rollingRestart(23, 6, 1300*time.Millisecond) }, none, 0.02},
	}
}

// rollingRestart restarts count instances as planned, some at a time.
func (s *permitSim) rollingRestart(count, together int, interval time.Duration) {
	if count <= 0 {
		return
	}
	for n := range min(count, together) {
		s.restartPlanned(s.instances[((count-n)*7)%len(s.instances)])
	}
	s.after(interval, func() { s.rollingRestart(count-together, together, interval) })
}

// Guards against requests below a quota that are refused after faults of many instances: each process would issue nothing for
// seconds. Callers send a refused request once more, so that demand is higher for about a second after a fault.
func TestUsualDemandIsServedAfterMassRestarts(t *testing.T) {
	for n, f := range massTroubles() {
		s := newPermitSim(uint64(n), 127, 3, simCustomers())
		s.fastStart, s.retries, s.renewalsOnly = true, true, true
		s.startAll()
		for _, c := range []int{0, 1} {
			s.load(c, s.now.Add(40*time.Second))
		}
		s.run(15 * time.Second)
		large, small := s.state[0], s.state[1]
		for _, m := range s.state[:2] {
			m.asked, m.refused, m.down, m.peak = 0, 0, 0, 0
		}
		f.begin(s)
		broken := ""
		var second []string // refused/asked in each second
		for range 20 {
			asked, refused, down := large.asked, large.refused, large.down
			broken += s.run(time.Second)
			second = append(second, fmt.Sprintf("%d+%d/%d", large.refused-refused-large.down+down, large.down-down, large.asked-asked))
		}
		t.Logf("%s: large %d of %d refused and %d not reached, small %d of %d and %d; peak %.2f; by second %v", f.name, large.refused-large.down, large.asked, large.down,
			small.refused-small.down, small.asked, small.down, large.peak, second)
		if broken != "" {
			t.Errorf("%s: %s", f.name, broken)
		}
		if refused := large.refused - large.down; float64(refused) > f.maxRefused*float64(large.asked) {
			t.Errorf("%s: %d of %d refused", f.name, refused, large.asked)
		}
	}
}

// Guards against owners that issue only part of their share when the store stops answering, though they are in contact with all other
// instances: they depend on signs of life 3 s after the last answer.
func TestSharesStayWholeWithoutTheStore(t *testing.T) {
	for _, instances := range []int{2, 30, 127} {
		s := newPermitSim(uint64(instances), instances, 3, simCustomers())
		s.renewalsOnly = true
		s.startAll()
		s.run(10 * time.Second)
		s.storeAway = true
		lowest := 1.0
		for range 100 {
			s.run(100 * time.Millisecond)
			for _, i := range s.instances {
				lowest = min(lowest, i.issuer.fraction)
			}
		}
		if t.Logf("%d instances: lowest fraction %.2f", instances, lowest); lowest < 1 {
			t.Errorf("%d instances: an owner issued only %.2f of its share", instances, lowest)
		}
	}
}
