package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/coordination/catalog"
	"azurebridge/internal/proptest"
	"azurebridge/state"
	"azurebridge/state/routing"
)

const now = state.Instant(time.Hour)

func newServer(i int, region state.RegionName) *catalog.Server {
	return &catalog.Server{
		Backend: routing.Backend{
			Name: state.BackendName(fmt.Sprintf("s-%02d", i)), Service: "search", Region: region, Slots: 4,
		},
		Gauge: &catalog.Gauge{},
	}
}

// newView returns a view of n servers, assigned to the regions in turn.
func newView(n int, regions ...state.RegionName) *catalog.View {
	s := &catalog.Service{Counters: &catalog.Counters{}}
	for i := range n {
		s.Servers = append(s.Servers, newServer(i, regions[i%len(regions)]))
	}
	for _, name := range regions {
		s.Regions = append(s.Regions, catalog.Region{Name: name, Distance: &catalog.Distance{}})
	}
	return &catalog.View{Services: map[state.ServiceName]*catalog.Service{"search": s}}
}

func newRequest(object string) *Request {
	return &Request{
		Service: "search", Object: object, Region: "north", TimeLeft: 3 * time.Second,
		Route:  &routing.Route{Idempotent: true, TargetLatency: 500 * time.Millisecond},
		Random: func() float64 { return 0.5 },
	}
}

func reportLoad(s *catalog.Server, load int) { s.Gauge.Report(now, load) }

// Guards against objects that no server has cached because each request goes to another server.
func TestRequestsForAnObjectGoToTheFirstServerWithCapacity(t *testing.T) {
	g := NewWithT(t)
	v := newView(12, "north", "south", "west")
	first, reason := Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Chosen))
	for range 10 {
		again, _ := Choose(v, newRequest("7"), now)
		g.Expect(again).To(BeIdenticalTo(first))
	}
	reportLoad(first, 5)
	again, _ := Choose(v, newRequest("7"), now)
	g.Expect(again).To(BeIdenticalTo(first), "a short wait costs less than a server without the object")
	reportLoad(first, 6)
	second, _ := Choose(v, newRequest("7"), now)
	g.Expect(second).NotTo(BeIdenticalTo(first))
}

// Guards against servers that evict objects because an overload spreads each object over many servers.
func TestOverloadSpreadsAnObjectOverFewServers(t *testing.T) {
	g := NewWithT(t)
	v := newView(12, "north")
	used := make(map[state.BackendName]bool)
	for load := range 40 {
		s, _ := Choose(v, newRequest("7"), now)
		used[s.Name] = true
		reportLoad(s, load)
	}
	g.Expect(len(used)).To(BeNumerically("<=", serversPerObject))
}

// Guards against objects of unchanged servers moving when another server is lost.
func TestLossOfAServerMovesOnlyItsObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "servers")
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		object := rapid.StringN(1, 8, -1).Draw(t, "object")
		v := newView(n, "north", "south")
		before, _ := Choose(v, newRequest(object), now)
		s := v.Services["search"]
		removed := s.Servers[lost]
		s.Servers = append(append([]*catalog.Server(nil), s.Servers[:lost]...), s.Servers[lost+1:]...)
		after, _ := Choose(v, newRequest(object), now)
		if before != removed && after != before {
			t.Fatalf("object %q moved from %s to %s when %s was lost", object, before.Name, after.Name, removed.Name)
		}
	})
}

// Guards against requests outside the regions that a route allows, to servers that were already tried, and to cold servers
// above their pace, in any combination of cold, ejected and loaded servers.
func TestChoiceRespectsRegionsTriedServersAndColdLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView(rapid.IntRange(1, 12).Draw(t, "servers"), "north", "south", "west")
		for _, s := range v.Services["search"].Servers {
			if rapid.Bool().Draw(t, "cold") {
				s.LimitedUntil = now.Add(time.Second)
				s.ColdSender = rapid.Bool().Draw(t, "sender")
			}
			if rapid.Bool().Draw(t, "ejected") {
				s.EjectedUntil = now.Add(time.Second)
			}
			reportLoad(s, rapid.IntRange(0, 20).Draw(t, "load"))
		}
		r := newRequest(rapid.SampledFrom([]string{"", "7", "8"}).Draw(t, "object"))
		r.Bulk = rapid.Bool().Draw(t, "bulk")
		regions := rapid.SampledFrom([][]state.RegionName{nil, {"north"}, {"south", "west"}})
		r.Route.Regions = regions.Draw(t, "regions")
		r.Customer = &routing.Customer{Regions: regions.Draw(t, "customer's regions")}
		cold := make(map[state.BackendName]int)
		for range 6 {
			s, reason := Choose(v, r, now)
			if s == nil {
				if reason == Chosen {
					t.Fatal("no server was chosen, but no reason given")
				}
				return
			}
			if !r.Route.ServedIn(s.Region) {
				t.Fatalf("chosen server is in region %s, allowed are %v", s.Region, r.Route.Regions)
			}
			if !r.Customer.ServedIn(s.Region) {
				t.Fatalf("chosen server is in region %s, the customer's are %v", s.Region, r.Customer.Regions)
			}
			for _, tried := range r.Tried {
				if tried == s.Name {
					t.Fatalf("server %s was chosen again after it was tried", s.Name)
				}
			}
			if now.Before(s.LimitedUntil) {
				if !s.ColdSender {
					t.Fatalf("cold server %s was chosen, but this instance must not send to it", s.Name)
				}
				if cold[s.Name]++; cold[s.Name] > 1 {
					t.Fatalf("cold server %s was chosen twice at the same time", s.Name)
				}
			}
			if rapid.Bool().Draw(t, "try the next") {
				r.Tried = append(r.Tried, s.Name)
			}
		}
	})
}

// Guards against large responses that cross regions while this instance's region has free capacity.
func TestLargeAnswersStayInTheRegion(t *testing.T) {
	g := NewWithT(t)
	v := newView(12, "south", "north", "west")
	for object := range 20 {
		r := newRequest(fmt.Sprint(object))
		r.Bulk = true
		s, _ := Choose(v, r, now)
		g.Expect(s.Region).To(Equal(state.RegionName("north")))
	}
}

// Guards against a queue in which all requests are late: a request that would be answered far too late is refused, and one that
// would be in time is not.
func TestLateRequestsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	v := newView(2, "north")
	s := v.Services["search"]
	s.Time.Record(300*time.Millisecond, 1, 4)
	for _, server := range s.Servers {
		reportLoad(server, 8)
	}
	_, reason := Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Chosen))
	for _, server := range s.Servers {
		reportLoad(server, 16)
	}
	_, reason = Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Overloaded))
}

// Guards against urgent requests that wait behind less urgent ones of the same service when capacity is short.
func TestLessUrgentRouteIsRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	v := newView(2, "north")
	v.Services["search"].Time.Record(300*time.Millisecond, 1, 4)
	for _, server := range v.Services["search"].Servers {
		reportLoad(server, 10)
	}
	parts := []routing.Part{{Service: "search", Weight: 1}}
	table := &routing.Table{Routes: []routing.Route{
		{Priority: 0, Parts: parts, TargetLatency: 500 * time.Millisecond},
		{Priority: 2, Parts: parts, TargetLatency: 500 * time.Millisecond},
	}}
	table.Index()
	for i, want := range []Reason{Chosen, Overloaded} {
		r := newRequest("7")
		r.Route = &table.Routes[i]
		_, reason := Choose(v, r, now)
		g.Expect(reason).To(Equal(want))
	}
}

// Guards against a route without a target latency whose requests are refused before their deadline requires it.
func TestRouteWithoutTargetIsNotRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	v := newView(2, "north")
	v.Services["search"].Time.Record(300*time.Millisecond, 1, 4)
	for _, server := range v.Services["search"].Servers {
		reportLoad(server, 16)
	}
	r := newRequest("7")
	r.Route.TargetLatency = 0
	_, reason := Choose(v, r, now)
	g.Expect(reason).To(Equal(Chosen))
}

// Guards against a service that refuses everything because its service time alone exceeds the target latency.
func TestSlowWorkIsNotRefusedWithoutAQueue(t *testing.T) {
	g := NewWithT(t)
	v := newView(2, "north")
	v.Services["search"].Time.Record(5*time.Second, 1, 4)
	_, reason := Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Chosen))
}

// Guards against repeated requests to a server that has stopped answering, and whose load is therefore unknown.
func TestStalledServerIsSkipped(t *testing.T) {
	g := NewWithT(t)
	v := newView(2, "north")
	v.Services["search"].Time.Record(300*time.Millisecond, 1, 4)
	first, _ := Choose(v, newRequest("7"), now)
	first.Gauge.Begin(now)
	soon, late := now.Add(time.Second), now.Add(1300*time.Millisecond)
	s, _ := Choose(v, newRequest("7"), soon)
	g.Expect(s).To(BeIdenticalTo(first), "a first request may take three times the mean")
	s, _ = Choose(v, newRequest("7"), late)
	g.Expect(s).NotTo(BeIdenticalTo(first))
	s.Gauge.Begin(now)
	s, _ = Choose(v, newRequest("7"), late)
	g.Expect(s).To(BeIdenticalTo(first), "all servers are stalled")
	first.Gauge.End(now)
	s, _ = Choose(v, newRequest("7"), late)
	g.Expect(s).To(BeIdenticalTo(first))
}

func TestMain(m *testing.M) { proptest.Main(m, 300, 30) }

// Guards against a request to a server that has left, was replaced or became cold between the choice and the sending.
func TestChoiceFromAnOlderViewNeedsTheSameWarmServer(t *testing.T) {
	server := func(change func(s *catalog.Server)) *catalog.Server {
		s := &catalog.Server{
			Backend: routing.Backend{Name: "s", Service: "svc", Address: "10.0.0.1:80", Born: 1}, Gauge: &catalog.Gauge{},
		}
		change(s)
		return s
	}
	same := func(*catalog.Server) {}
	cold := func(s *catalog.Server) { s.LimitedUntil = now + 1 }
	leaving := func(s *catalog.Server) { s.Gauge.SetLeaving() }
	paused := func(s *catalog.Server) { s.Gauge.Pause.Extend(now, time.Second) }
	for name, c := range map[string]struct {
		chosen, newest *catalog.Server
		usable         bool
	}{
		"unchanged":        {server(same), server(same), true},
		"removed":          {server(same), nil, false},
		"restarted":        {server(same), server(func(s *catalog.Server) { s.Born = 2 }), false},
		"moved":            {server(same), server(func(s *catalog.Server) { s.Address = "10.0.0.2:80" }), false},
		"has become cold":  {server(same), server(cold), false},
		"says it leaves":   {server(leaving), server(same), false},
		"asks for a pause": {server(paused), server(same), false},
		"still cold":       {server(cold), server(cold), true},
		"no longer cold":   {server(cold), server(same), true},
		"has been ejected": {server(same), server(func(s *catalog.Server) { s.EjectedUntil = now + 1 }), true},
	} {
		v := &catalog.View{Services: map[state.ServiceName]*catalog.Service{"svc": {}}}
		if c.newest != nil {
			v.Services["svc"].Servers = []*catalog.Server{c.newest}
		}
		NewWithT(t).Expect(StillUsable(v, "svc", c.chosen, now)).To(Equal(c.usable), name)
	}
}

// Guards against requests that are placed as if a server worked at its usual speed while it has just reported a much longer work
// time.
func TestReportedWorkTimeLengthensTheExpectedTime(t *testing.T) {
	g := NewWithT(t)
	v := newView(1, "north")
	v.Services["search"].Time.Record(400*time.Millisecond, 1, 4)
	server := v.Services["search"].Servers[0]
	_, reason := Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Chosen))
	server.Gauge.ReportSlowness(now, 3) // 1.2 s, the target is 0.5 s
	_, reason = Choose(v, newRequest("7"), now)
	g.Expect(reason).To(Equal(Overloaded))
	_, reason = Choose(v, newRequest("7"), now.Add(600*time.Millisecond))
	g.Expect(reason).To(Equal(Chosen), "the report is old")
}
