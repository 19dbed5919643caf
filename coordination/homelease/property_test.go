package homelease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurebridge/state"
)

// healBound is how long the region may be without a home after the network, the store and all processes work again: the
// time after which a lost store operation is repeated, a read, the quiet time after a start and one lost election.
const healBound = opTimeout + ReadInterval + StartQuiet + HomeSilence + AttemptTimeout + maxBackoff*2*Stagger

// Guards against two homes of one region at the same time, epochs that fall, and a region that stays without a home.
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

// Guards against a majority under an old record beside one under the current record: two witnesses are parted until
// they have been replaced, and a third one then joins their side, as it is or restarted.
func TestOldRecordElectsNoHome(t *testing.T) {
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 7)
		s.run(5 * time.Second)
		first := s.record
		var parted []*node
		joins := -1
		for i, n := range s.nodes {
			switch {
			case !first.Has(n.in.Name) || n.in.Region != "r" || n.e.Candidate.Home(s.local(n)) != 0:
			case len(parted) < 2:
				n.side = 1
				parted = append(parted, n)
			default:
				joins = i
			}
		}
		s.run(s.now + 15*time.Second)
		if s.record.Has(parted[0].in.Name) || s.record.Has(parted[1].in.Name) {
			t.Fatalf("witnesses %v still hold a parted one of %v", s.record, first)
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
		s.start(i) // also a restart without a gap
	case 4:
		s.storeAway = !s.storeAway
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
	s.loss, s.dup, s.storeAway = 0, 0, false
	for i, n := range s.nodes {
		n.side = 0
		if !n.up || n.paused > s.now {
			s.start(i)
		}
	}
}

// Guards against a set of witnesses that one failure domain can take away.
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
	r := Choose("r", list)
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
