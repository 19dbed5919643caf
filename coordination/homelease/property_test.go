package homelease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurebridge/state"
)

// healBound is the max time without a home after the network, the store and all processes work again: the timeout of a
// lost store operation, a read, the delay after a start and one lost election.
const healBound = opTimeout + ReadInterval + StartDelay + HomeTimeout + AttemptTimeout + maxBackoffFactor*2*Stagger

// Guards against two homes of one region at the same time, epochs that decrease, and a region that stays without a home.
func TestOneHomePerRegion(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(5, 7).Draw(t, "nodes"))
		s.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		s.dup = rapid.Float64Range(0, 0.3).Draw(t, "dup")
		s.run(2 * time.Second)
		for range rapid.IntRange(5, 25).Draw(t, "faults") {
			s.fault(rapid.IntRange(0, 9).Draw(t, "fault"), rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node"))
			s.run(s.now + time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms"))*time.Millisecond)
		}
		s.heal()
		s.run(s.now + healBound)
		found := false
		for _, n := range s.nodes {
			found = found || n.e.Candidate.Home(s.local(n)) != 0 && n.in.Region == "r"
		}
		if !found {
			for _, n := range s.nodes {
				t.Logf("%s: %+v", n.in.Name, n.e.Candidate.View(s.local(n)))
			}
			t.Fatalf("no home %v after everything works again; record %+v", healBound, s.record)
		}
		total += s.homes
	})
	t.Logf("%d elections", total)
}

// Guards against a majority under an old record beside one under the current record. Two witnesses are partitioned until
// they have been replaced; then a third witness moves to their side of the partition, with or without a restart.
func TestOldRecordElectsNoHome(t *testing.T) {
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 7)
		s.run(5 * time.Second)
		first := s.record
		var partitioned []*node
		joins := -1
		for i, n := range s.nodes {
			switch {
			case !first.Has(n.in.Name) || n.in.Region != "r" || n.e.Candidate.Home(s.local(n)) != 0:
			case len(partitioned) < 2:
				n.side = 1
				partitioned = append(partitioned, n)
			default:
				joins = i
			}
		}
		s.run(s.now + 15*time.Second)
		if s.record.Has(partitioned[0].in.Name) || s.record.Has(partitioned[1].in.Name) {
			t.Fatalf("witnesses %v still include a partitioned one of %v", s.record, first)
		}
		changed++
		if rapid.Bool().Draw(t, "restart") {
			s.start(joins)
		}
		s.nodes[joins].side = 1
		s.run(s.now + 5*time.Second)
	})
	t.Logf("%d runs with replaced witnesses", changed)
}

func (s *sim) fault(kind, i int) {
	n := s.nodes[i]
	switch kind {
	case 0, 1:
		n.paused = s.now + time.Duration(s.rng.Intn(3000))*time.Millisecond
	case 2:
		n.up = false
	case 3:
		s.start(i) // if the node is up, a restart without downtime
	case 4:
		s.storeDown = !s.storeDown
	case 5:
		n.side = 1 - n.side
	case 6:
		for _, n := range s.nodes {
			n.side = 0
		}
	case 7: // planned stop of the home
		for _, n := range s.nodes {
			if n.up && n.e.Candidate.Home(s.local(n)) != 0 {
				n.e.Candidate.Resign(s.local(n), s.nodes[i].in.Name)
				for _, o := range n.e.TakeOutbound() {
					s.send(n, o.To, o.Body)
				}
			}
		}
	case 8: // the home pauses for about as long as its lease
		for _, n := range s.nodes {
			if n.e.Candidate.Home(s.local(n)) != 0 {
				n.paused = s.now + time.Duration(300+s.rng.Intn(400))*time.Millisecond
			}
		}
	case 9:
		for j := range s.nodes {
			if s.nodes[j].up && s.rng.Intn(2) == 0 {
				s.start(j)
			}
		}
	}
}

func (s *sim) heal() {
	s.loss, s.dup, s.storeDown = 0, 0, false
	for i, n := range s.nodes {
		n.side = 0
		if !n.up || n.paused > s.now {
			s.start(i)
		}
	}
}

// Guards against a set of witnesses that loses its majority with one failure domain.
func TestChooseSpreadsWitnesses(t *testing.T) {
	var list []state.Instance
	for i, name := range []state.InstanceName{"a", "b", "c", "d", "e", "f", "g", "h"} {
		in := state.Instance{Name: name, Region: "r", Domain: "r-1", Status: state.InstanceLive}
		if i%2 == 1 {
			in.Domain = "r-2"
		}
		if i >= 6 {
			in.Region, in.Domain = "q", "q-1"
		}
		list = append(list, in)
	}
	r := ChooseWitnesses("r", list)
	count := map[state.DomainName]int{}
	for _, in := range list {
		if r.Has(in.Name) {
			count[in.Domain]++
		}
	}
	if len(r.Witnesses) != MaxWitnesses || count["r-1"] != 2 || count["r-2"] != 2 || count["q-1"] != 1 {
		t.Fatalf("witnesses %v, by domain %v", r.Witnesses, count)
	}
}
