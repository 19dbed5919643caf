package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Bounds on requests to servers that leave or have asked for a pause, and times of the simulated network.
const (
	leavingBound  = 2500 * time.Millisecond // after an answer that says so, measured at the caller's sending
	pauseReaction = 500 * time.Millisecond  // after the answer that asks for the pause
	maxInPause    = 2                       // requests of one instance in the rest of the pause
	simLength     = 12 * time.Second
	maxOneWay     = 200 * time.Millisecond // of a request or an answer, below half of pauseReaction
	maxDial       = 900 * time.Millisecond
)

// variant is the code under test, or a broken one that the check must find.
type variant struct {
	name           string
	noWithdrawal   bool // requests are sent without checking the server again once the connection is open
	ignoresPauses  bool
	ignoresLeaving bool
	forgetsGauges  bool // a server that is listed again counts as a new process
}

// simServer is a process of a backend server.
type simServer struct {
	entry   routing.Backend
	leaving bool
	asks    time.Duration // pause that it asks for in its answers; 0 when it serves
}

// simInstance is an instance with the real control state and placement.
type simInstance struct {
	core     *catalog.Core
	view     *catalog.View
	revision catalog.Revision
	since    state.Instant // start of its process
	pauses   []simPause    // that servers have asked of this process
	leaving  map[string]state.Instant
}

// simPause is the period in which a server must get at most maxInPause requests from an instance.
type simPause struct {
	process  string
	from, to state.Instant
	arrived  int
}

// sim runs instances and servers on a simulated clock.
type sim struct {
	variant
	simClock
	servers   []*simServer
	instances []*simInstance
	broken    string
}

// afterOf runs something of an instance later, unless its process has ended meanwhile.
func (s *sim) afterOf(i *simInstance, d time.Duration, run func()) {
	since := i.since
	s.after(d, func() {
		if i.since == since {
			run()
		}
	})
}

func newSim(seed uint64, v variant) *sim {
	s := &sim{variant: v, simClock: newSimClock(seed, 1)}
	for i := range 4 {
		s.servers = append(s.servers, &simServer{entry: routing.Backend{
			Name: state.BackendName(fmt.Sprintf("s-%d", i)), Service: "search", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: "north-a",
			Region: "north", Slots: 4, Born: 1,
		}})
	}
	for range 2 {
		s.instances = append(s.instances, s.start())
	}
	return s
}

func (s *sim) start() *simInstance {
	i := &simInstance{core: catalog.NewCore(catalog.Options{Self: "front-1", Cold: quota.ColdLimit{Factor: 1.5, Tolerance: 5}}), since: s.now}
	i.leaving = make(map[string]state.Instant)
	s.list(i, -1)
	return i
}

// list gives the instance the entries of all servers but one.
func (s *sim) list(i *simInstance, missing int) {
	var items []catalog.Item
	for n, server := range s.servers {
		if n == missing {
			continue
		}
		entry := server.entry
		items = append(items, catalog.Item{Key: string(entry.Name), Fact: &entry})
	}
	i.revision.Number++
	i.core.Step(s.now, catalog.Listed{Revision: i.revision, Items: items})
	i.view = i.core.View()
}

func processOf(b *routing.Backend) string { return fmt.Sprintf("%s/%d", b.Name, b.Born) }

// request sends one request of a caller through an instance.
func (s *sim) request(i *simInstance) {
	sent := s.now
	r := newRequest(fmt.Sprint(s.random.IntN(20)))
	r.Random = s.random.Float64
	s.try(i, r, sent)
}

func (s *sim) try(i *simInstance, r *Request, sent state.Instant) {
	if len(r.Tried) == 3 {
		return
	}
	chosen, _ := Choose(i.view, r, s.now)
	if chosen == nil {
		return
	}
	r.Tried = append(r.Tried, chosen.Name)
	s.afterOf(i, s.upTo(maxDial), func() {
		if !s.noWithdrawal && !StillUsable(i.view, r.Service, chosen, s.now) {
			s.try(i, r, sent)
			return
		}
		s.afterOf(i, s.upTo(maxOneWay), func() { s.arrive(i, r, chosen, sent) })
	})
}

// arrive lets the server answer, and checks the bounds.
func (s *sim) arrive(i *simInstance, r *Request, chosen *catalog.Server, sent state.Instant) {
	n := slices.IndexFunc(s.servers, func(m *simServer) bool { return m.entry.Name == chosen.Name })
	server := s.servers[n]
	if server.entry.Born != chosen.Born {
		return // the process has ended
	}
	process := processOf(&server.entry)
	s.check(i, process, sent)
	leaving, asks := server.leaving, server.asks
	if asks > 0 {
		i.pauses = append(i.pauses, simPause{process, s.now.Add(pauseReaction), s.now.Add(asks), 0})
	}
	s.afterOf(i, s.upTo(maxOneWay), func() { s.answered(i, r, chosen, sent, leaving, asks) })
}

func (s *sim) check(i *simInstance, process string, sent state.Instant) {
	if said, ok := i.leaving[process]; ok && sent.Sub(said) > leavingBound {
		s.broken = process + " got a request after it had said that it leaves"
	}
	for n := range i.pauses {
		p := &i.pauses[n]
		if p.process != process || s.now.Before(p.from) || !s.now.Before(p.to) {
			continue
		}
		if p.arrived++; p.arrived > maxInPause {
			s.broken = process + " got requests in its pause"
		}
	}
}

// answered applies the answer as the instance does.
func (s *sim) answered(i *simInstance, r *Request, chosen *catalog.Server, sent state.Instant, leaving bool, asks time.Duration) {
	if leaving {
		if process := processOf(&chosen.Backend); i.leaving[process] == 0 {
			i.leaving[process] = s.now
		}
		if !s.ignoresLeaving {
			chosen.Gauge.SetLeaving()
		}
	}
	if asks > 0 {
		if !s.ignoresPauses {
			chosen.Gauge.Pause.Extend(s.now, asks)
		}
		s.try(i, r, sent)
	}
}

// disturb changes one thing at random.
func (s *sim) disturb() {
	n := s.random.IntN(len(s.servers))
	server, i := s.servers[n], s.instances[s.random.IntN(len(s.instances))]
	switch s.random.IntN(6) {
	case 0:
		server.leaving = true
	case 1:
		server.asks = time.Second + s.upTo(3*time.Second)
	case 2:
		server.asks = 0
	case 3: // the server starts again
		s.servers[n] = &simServer{entry: server.entry}
		s.servers[n].entry.Born++
	case 4: // the entry is missing for a while
		s.list(i, n)
		s.afterOf(i, s.upTo(time.Second), func() { s.relist(i) })
		return
	case 5: // the instance starts again and knows nothing
		*i = *s.start()
	}
	for _, i := range s.instances {
		s.afterOf(i, s.upTo(time.Second), func() { s.relist(i) })
	}
}

func (s *sim) relist(i *simInstance) {
	if s.forgetsGauges {
		i.core = catalog.NewCore(catalog.Options{Self: "front-1"})
	}
	s.list(i, -1)
}

// run returns how a bound was broken, or "".
func (s *sim) run() string {
	for end := s.now.Add(simLength); s.now.Before(end) && s.broken == ""; s.now = s.now.Add(simStep) {
		s.runDue()
		for _, i := range s.instances {
			if s.random.IntN(3) == 0 {
				s.request(i)
			}
		}
		if s.random.IntN(40) == 0 {
			s.disturb()
		}
	}
	return s.broken
}

// Guards against requests to servers that leave or have asked for a pause, whatever the order of answers, listings, restarts of
// servers and instances, slow connections and retries.
func TestSignalsOfServersAreHonored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if broken := newSim(rapid.Uint64().Draw(t, "seed"), variant{}).run(); broken != "" {
			t.Fatal(broken)
		}
	})
}

// Guards against a check of the signals that finds nothing: each of these mistakes must be found.
func TestBrokenVariantsMissSignals(t *testing.T) {
	for _, v := range []variant{
		{name: "no withdrawal", noWithdrawal: true}, {name: "pauses ignored", ignoresPauses: true},
		{name: "leaving ignored", ignoresLeaving: true}, {name: "gauges forgotten", forgetsGauges: true},
	} {
		found := 0
		for seed := range uint64(40) {
			if newSim(seed, v).run() != "" {
				found++
			}
		}
		t.Logf("%s: found with %d of 40 seeds", v.name, found)
		if found == 0 {
			t.Errorf("%s: not found with 40 seeds", v.name)
		}
	}
}
