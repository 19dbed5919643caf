package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Bound on the requests to a server that names a limit, and times of the simulated network.
const (
	limitSpan     = 4 * time.Second
	limitFactor   = 1.5
	limitExtra    = 5.0
	limitReaction = 500 * time.Millisecond // after an instance has passed on the first answer that names the limit
	limitWork     = 300 * time.Millisecond // the longest time that a server takes
	limitOneWay   = 100 * time.Millisecond // the longest time that a request is on its way
)

// limitedServer is a backend server with the requests that count against its limit.
type limitedServer struct {
	name    state.BackendName
	rate    float64 // requests/s that it names; 0 for none
	arrived []state.Instant
}

// limitInstance is an instance with the real control state and placement.
type limitInstance struct {
	name  state.InstanceName
	core  *catalog.Core
	view  *catalog.View
	heard map[state.BackendName]state.Instant // when it first passed on an answer with the limit
	cut   bool                                // it does not hear of changes in the list of instances
}

// limitSim runs instances that send to servers with limits, on a simulated clock.
type limitSim struct {
	simClock
	number    uint64 // of listings
	servers   []*limitedServer
	instances []*limitInstance
	broken    string
	ignore    bool // a broken variant: answers that name limits are not recorded
	alone     bool // a broken variant: each instance knows no other and takes the whole limit for its own
}

func newLimitSim(seed uint64, instances, servers int) *limitSim {
	s := &limitSim{simClock: newSimClock(seed, 2)}
	for i := range servers {
		s.servers = append(s.servers, &limitedServer{name: state.BackendName(fmt.Sprintf("s-%d", i))})
	}
	for i := range instances {
		s.instances = append(s.instances, &limitInstance{name: state.InstanceName(fmt.Sprintf("front-%d", i))})
	}
	for _, i := range s.instances {
		s.restart(i)
	}
	s.list()
	return s
}

func (s *limitSim) restart(i *limitInstance) {
	i.core = catalog.NewCore(catalog.Options{Self: i.name})
	i.heard = make(map[state.BackendName]state.Instant)
}

// list gives all instances that are not cut off the list of servers and instances.
func (s *limitSim) list() {
	s.number++
	var items []catalog.Item
	for _, m := range s.servers {
		items = append(items, catalog.Item{Key: string(m.name), Fact: &routing.Backend{
			Name: m.name, Service: "search", Address: string(m.name), Domain: "north-a", Region: "north", Slots: 4, Born: 1,
		}})
	}
	for _, i := range s.instances {
		items = append(items, catalog.Item{Key: string(i.name), Fact: &routing.Peer{Name: i.name}})
	}
	for _, i := range s.instances {
		known := items
		if s.alone {
			known = append(slices.Clone(items[:len(s.servers)]), catalog.Item{Key: string(i.name), Fact: &routing.Peer{Name: i.name}})
		}
		if !i.cut || i.view == nil {
			i.core.Step(s.now, catalog.Listed{Revision: catalog.Revision{Number: s.number}, Items: known})
			i.view = i.core.View()
		}
	}
}

func (s *limitSim) after(d time.Duration, run func()) {
	s.pending = append(s.pending, simEvent{s.now.Add(d), run})
}

func (s *limitSim) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// request sends one request of a caller through an instance.
func (s *limitSim) request(i *limitInstance) {
	r := newRequest(fmt.Sprint(s.random.IntN(40)))
	r.Random = s.random.Float64
	chosen, _ := Choose(i.view, r, s.now)
	if chosen == nil {
		return
	}
	sent, core := s.now, i.core
	s.after(s.upTo(limitOneWay), func() {
		for _, m := range s.servers {
			if m.name == chosen.Name {
				s.arrive(i, core, m, chosen, sent)
			}
		}
	})
}

func (s *limitSim) arrive(i *limitInstance, core *catalog.Core, m *limitedServer, chosen *catalog.Server, sent state.Instant) {
	heard, ok := i.heard[m.name]
	if i.core == core && ok && s.now.Sub(heard) >= limitReaction && m.rate > 0 {
		m.arrived = append(m.arrived, s.now)
		s.check(m)
	}
	rate := m.rate
	s.after(s.upTo(limitWork), func() { s.answered(i, core, chosen, sent, rate) })
}

// check compares the arrivals of the last limitSpan with the limit.
func (s *limitSim) check(m *limitedServer) {
	for len(m.arrived) > 0 && s.now.Sub(m.arrived[0]) > limitSpan {
		m.arrived = m.arrived[1:]
	}
	if allowed := limitFactor*m.rate*limitSpan.Seconds() + limitExtra; float64(len(m.arrived)) > allowed {
		s.broken = fmt.Sprintf("%s got %d requests in %s, its limit of %.1f/s allows %.1f", m.name, len(m.arrived), limitSpan, m.rate, allowed)
	}
}

// answered applies an answer as the instance does.
func (s *limitSim) answered(i *limitInstance, core *catalog.Core, chosen *catalog.Server, sent state.Instant, rate float64) {
	if i.core != core {
		return // the process has ended
	}
	if _, ok := i.heard[chosen.Name]; !ok && rate > 0 {
		i.heard[chosen.Name] = s.now
	}
	if s.ignore {
		return
	}
	change := chosen.Gauge.Limit.Record(s.now, sent, rate)
	if change == quota.LimitUnchanged {
		return
	}
	if change == quota.LimitBegun {
		chosen.Gauge.LimitPacer.Record(s.now)
	}
	i.core.Step(s.now, catalog.LimitNamed{})
	i.view = i.core.View()
}

// disturb changes one thing at random. Limits begin and end, but do not fall: what was sent under the higher one would count.
func (s *limitSim) disturb() {
	m, i := s.servers[s.random.IntN(len(s.servers))], s.instances[s.random.IntN(len(s.instances))]
	switch s.random.IntN(5) {
	case 0, 1:
		if m.rate == 0 {
			m.rate, m.arrived = 0.5+8*s.random.Float64(), nil
			for _, i := range s.instances {
				delete(i.heard, m.name)
			}
		}
	case 2:
		m.rate = 0
	case 3:
		s.restart(i)
		s.list()
	case 4:
		i.cut = !i.cut
	}
}

// run returns how a limit was exceeded, or "".
func (s *limitSim) run(length time.Duration, perStep float64) string {
	for end := s.now.Add(length); s.now.Before(end) && s.broken == ""; s.now = s.now.Add(simStep) {
		s.runDue()
		for _, i := range s.instances {
			if s.random.Float64() < perStep {
				s.request(i)
			}
		}
		if s.random.IntN(100) == 0 {
			s.disturb()
		}
	}
	return s.broken
}

// Guards against a server that names a limit and gets more from all instances together, while instances start again, are cut off
// and limits begin and end.
func TestServersStayUnderTheLimitsThatTheyName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLimitSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 40).Draw(t, "instances"), rapid.IntRange(1, 6).Draw(t, "servers"))
		if broken := s.run(12*time.Second, rapid.Float64Range(0.02, 0.5).Draw(t, "load")); broken != "" {
			t.Fatal(broken)
		}
	})
}

// Guards against a check that finds nothing: instances that ignore limits, or take each for their own, exceed them.
func TestTheCheckFindsInstancesThatExceedLimits(t *testing.T) {
	for name, breakSim := range map[string]func(*limitSim){
		"ignored": func(s *limitSim) { s.ignore = true },
		"alone":   func(s *limitSim) { s.alone = true; s.list() },
	} {
		found := 0
		for seed := range uint64(20) {
			s := newLimitSim(seed, 20, 3)
			breakSim(s)
			if s.run(20*time.Second, 0.2) != "" {
				found++
			}
		}
		if found < 10 {
			t.Errorf("%s: found with %d of 20 seeds", name, found)
		}
	}
}

// Guards against requests that wait behind others at a server which has not cached their object, because the object's server has
// reached its limit: the requests for the objects of the other server would then all be late.
func TestRequestOfAServerAtItsLimitAddsToNoQueueElsewhere(t *testing.T) {
	g := NewWithT(t)
	v := newView(2, "north")
	s := v.Services["search"]
	s.Time.Record(400*time.Millisecond, 0, 4)
	first, _ := Choose(v, newRequest("7"), now)
	for _, m := range s.Servers {
		reportLoad(m, 5) // 6 requests on 4 slots take 600 ms, the target is 500 ms
	}
	second, reason := Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Chosen), "without a limit, up to twice the target is accepted")
	g.Expect(second).To(BeIdenticalTo(first))
	first.LimitPace = quota.Pace{Count: 1, Per: time.Minute}
	first.Gauge.Limit.Record(now, now, 1)
	first.Gauge.LimitPacer.Record(now)
	_, reason = Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Overloaded))
	for _, m := range s.Servers {
		reportLoad(m, 2)
	}
	second, reason = Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Chosen), "a server without a queue takes it")
	g.Expect(second).NotTo(BeIdenticalTo(first))
}

// Guards against a request placed before its server named a limit that is sent nevertheless, and against requests in the moment
// before this instance's part of the limit is known.
func TestNewLimitHoldsForRequestsAboutToBeSent(t *testing.T) {
	g := NewWithT(t)
	v := newView(1, "north")
	chosen, _ := Choose(v, newRequest("7"), now)
	v.Services["search"].Servers[0].Gauge.Limit.Record(now, now, 1)
	g.Expect(StillUsable(v, "search", chosen, now)).To(BeFalse())
	_, reason := Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Limited))
}
