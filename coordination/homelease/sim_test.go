package homelease

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurebridge/coordination/message"
	"azurebridge/internal/proptest"
	"azurebridge/state"
)

func TestMain(m *testing.M) { proptest.Main(m, 60, 30) }

type event struct {
	at   time.Duration
	node int
	inc  state.Incarnation // of the process that handles it; 0 for any
	run  func(n *node)
}

type node struct {
	in            state.Instance
	rate          float64 // of its clock, relative to the simulated time
	e             *Election
	up            bool
	side          int // of the partition, 0 or 1
	paused        time.Duration
	lastAnnounced time.Duration // last announcement as home
}

// sim runs elections of one region over a network with random faults. The last node belongs to another region.
type sim struct {
	t         *rapid.T
	rng       *rand.Rand
	now       time.Duration
	queue     []*event // ordered by time
	nodes     []*node
	record    Record
	storeDown bool
	loss, dup float64
	maxDelay  time.Duration
	epoch     message.Epoch // highest epoch in which there was a home
	holder    string
	homes     int
}

func newSim(t *rapid.T, n int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))), maxDelay: 30 * time.Millisecond}
	for i := range n {
		in := state.Instance{
			Name: state.InstanceName(fmt.Sprintf("e%d", i)), Region: "r", Domain: state.DomainName(fmt.Sprint(i % 2)), Status: state.InstanceLive,
		}
		if i == n-1 {
			in.Region, in.Domain = "other", "x"
		}
		nd := &node{in: in, rate: 0.955 + 0.09*rapid.Float64Range(0, 1).Draw(t, "rate")}
		s.nodes = append(s.nodes, nd)
		s.start(i)
	}
	return s
}

func (s *sim) local(n *node) state.Instant {
	return state.Instant(float64(s.now+time.Hour) * n.rate)
}

func (s *sim) start(i int) {
	n := s.nodes[i]
	n.in.Incarnation = state.Incarnation(uint64(1_000_000+s.now.Milliseconds())<<20 | uint64(s.rng.Intn(1<<20)))
	n.up, n.paused, n.lastAnnounced = true, 0, 0
	n.e = NewElection(s.local(n), n.in)
	s.tick(i, n.in.Incarnation)
}

func (s *sim) tick(i int, inc state.Incarnation) {
	s.at(time.Duration(15+s.rng.Intn(10))*time.Millisecond, i, inc, func(n *node) {
		now := s.local(n)
		n.e.Tick(now, &View{Instances: s.instances(n), Complete: true, Unlisted: func(state.InstanceName) bool { return false }}, false)
		if ep := n.e.Candidate.Home(now); ep != 0 && s.now-n.lastAnnounced > 250*time.Millisecond {
			n.lastAnnounced = s.now
			for _, to := range s.nodes {
				if to != n && to.in.Region == n.in.Region {
					s.send(n, to.in.Name, &message.RegionStatus{Region: "r", Epoch: ep})
				}
			}
		}
		s.tick(i, inc)
	})
}

// instances returns the instances as one node sees them.
func (s *sim) instances(viewer *node) []state.Instance {
	var out []state.Instance
	for _, n := range s.nodes {
		in := n.in
		if !n.up || n.side != viewer.side {
			in.Status = state.InstanceSuspect
		}
		out = append(out, in)
	}
	return out
}

func (s *sim) at(d time.Duration, node int, inc state.Incarnation, run func(*node)) {
	s.push(&event{at: s.now + d, node: node, inc: inc, run: run})
}

func (s *sim) push(ev *event) {
	i, _ := slices.BinarySearchFunc(s.queue, ev.at+1, func(e *event, at time.Duration) int { return cmp.Compare(e.at, at) })
	s.queue = slices.Insert(s.queue, i, ev)
}

func (s *sim) delay() time.Duration {
	d := time.Millisecond + time.Duration(s.rng.Int63n(int64(s.maxDelay)))
	if s.loss > 0 && s.rng.Intn(20) == 0 {
		d += time.Duration(s.rng.Int63n(int64(2 * time.Second)))
	}
	return d
}

func (s *sim) send(from *node, to state.InstanceName, b message.Body) {
	for i, n := range s.nodes {
		if n.in.Name != to || n.side != from.side {
			continue
		}
		copies := 1
		if s.rng.Float64() < s.loss {
			copies = 0
		} else if s.rng.Float64() < s.dup {
			copies = 2
		}
		name, inc := from.in.Name, from.in.Incarnation
		for range copies {
			s.at(s.delay(), i, 0, func(n *node) {
				if m, ok := b.(*message.RegionStatus); ok {
					n.e.Candidate.HomeAlive(s.local(n), name, m.Epoch)
					return
				}
				n.e.Receive(s.local(n), name, inc, b)
			})
		}
	}
}

// store runs one operation; the call and the reply may each be lost. Side 1 of a partition cannot reach the store.
func (s *sim) store(i int, op Op) {
	inc := s.nodes[i].in.Incarnation
	s.at(s.delay(), -1, 0, func(*node) {
		failed := s.storeDown || s.nodes[i].side == 1 || s.rng.Float64() < s.loss
		if !failed && op.Write && s.record.Number == op.Record.Number {
			s.record = Record{Region: op.Region, Number: op.Record.Number + 1, Witnesses: op.Record.Witnesses}
		}
		current := s.record
		if op.Region != "r" {
			current = Record{Region: op.Region}
		}
		failed = failed || s.rng.Float64() < s.loss
		s.at(s.delay(), i, inc, func(n *node) { n.e.OpDone(s.local(n), op, current, failed) })
	})
}

// run handles events until the given time and checks the invariants after each one.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		ev := s.queue[0]
		s.queue = s.queue[1:]
		s.now = ev.at
		if ev.node < 0 {
			ev.run(nil)
			continue
		}
		n := s.nodes[ev.node]
		if !n.up || ev.inc != 0 && ev.inc != n.in.Incarnation {
			continue
		}
		if n.paused > s.now {
			ev.at = n.paused
			s.push(ev)
			continue
		}
		ev.run(n)
		for _, o := range n.e.TakeOutbound() {
			s.send(n, o.To, o.Body)
		}
		for _, op := range n.e.TakeOps() {
			if n.in.Region == "r" || op.Region == "r" {
				s.store(ev.node, op)
			} else {
				n.e.OpDone(s.local(n), op, Record{Region: op.Region}, true)
			}
		}
		s.check()
	}
	s.now = until
}

func (s *sim) check() {
	var home *node
	for _, n := range s.nodes {
		ep := n.e.Candidate.Home(s.local(n))
		if !n.up || ep == 0 || n.in.Region != "r" {
			continue
		}
		if home != nil {
			s.t.Fatalf("at %v both %s and %s are home of the region", s.now, home.in.Name, n.in.Name)
		}
		home = n
		holder := fmt.Sprint(n.in.Name, n.in.Incarnation)
		if ep < s.epoch || ep == s.epoch && holder != s.holder {
			s.t.Fatalf("at %v %s is home in epoch %d after epoch %d of %s", s.now, holder, ep, s.epoch, s.holder)
		}
		if ep > s.epoch {
			s.homes++
		}
		s.epoch, s.holder = ep, holder
	}
}
