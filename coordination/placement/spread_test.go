package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
)

// noiseOfReplays is the difference in value that is allowed between two runs of the same demand.
const noiseOfReplays = 0.03

func newSpreadRequest(object string) *Request {
	r := newRequest(object)
	r.OverloadControl = true
	return r
}

// Guards against requests of an object that are refused or wait at its two servers although others of the service have free slots.
func TestObjectIsSpreadWhenItsServersAreLate(t *testing.T) {
	g := NewWithT(t)
	v := newView(12, "north")
	s := v.Services["search"]
	s.Work.Record(catalog.MemberWork, 200*time.Millisecond, 0, 4)
	s.Work.Record(catalog.OtherWork, 450*time.Millisecond, 0, 4)
	for range 2 {
		server, _ := Choose(v, newSpreadRequest("7"), now)
		reportLoad(server, 16)
	}
	for range 4 {
		choice, reason := Place(v, newSpreadRequest("7"), now)
		g.Expect(reason).To(Equal(Chosen))
		g.Expect(choice.Kind).To(Equal(catalog.OtherWork), "the two servers of the object take 850 ms")
		g.Expect(choice.Server.Gauge.Load(now)).To(BeZero())
	}
	s.Work.Record(catalog.OtherWork, 40*time.Second, 0, 4) // at other servers work takes far longer
	choice, _ := Place(v, newSpreadRequest("7"), now)
	g.Expect(choice.Kind).To(Equal(catalog.MemberWork), "a queue costs less than work without the object")
}

// Guards against objects that evict each other because rare ones are spread, and against one server that gets most of the requests
// of the service because they concern one object.
func TestServersOfAnObjectFollowItsShareOfTheRequests(t *testing.T) {
	g := NewWithT(t)
	v := newView(100, "north")
	s := v.Services["search"]
	used := func(object string) int {
		servers := make(map[state.BackendName]bool)
		random := newSimClock(1, 1).random
		for range 400 {
			r := newSpreadRequest(object)
			r.Random = random.Float64
			server, _ := Choose(v, r, now)
			servers[server.Name] = true
		}
		return len(servers)
	}
	g.Expect(used("hot")).To(Equal(1), "nothing is known yet")
	for i := range 400 {
		s.Objects.Record(fmt.Sprint("rare-", i%160))
		if i%4 == 0 {
			s.Objects.Record("hot")
		}
	}
	g.Expect(used("hot")).To(BeNumerically("~", 20, 4), "a fifth of the requests")
	g.Expect(used("rare-7")).To(Equal(1))
}

// Guards against requests that all go to the server that was last seen to be fast or idle.
func TestRequestsDoNotHerd(t *testing.T) {
	g := NewWithT(t)
	v := newView(12, "north")
	s := v.Services["search"]
	s.Work.Record(catalog.MemberWork, 100*time.Millisecond, 0, 4)
	random := newSimClock(1, 1).random
	for range 100 {
		s.Objects.Record("hot")
		s.Pressure.Arrived(now, 0, 500*time.Millisecond)
	}
	for range 100 {
		s.Pressure.Reported(now, 2, false)
	}
	for _, m := range s.Servers {
		reportLoad(m, 8)
		m.Gauge.ReportSlowness(now, 2.5)
	}
	s.Servers[3].Gauge.ReportSlowness(now, 0.5)
	reportLoad(s.Servers[3], 0)
	sent := make(map[state.BackendName]int)
	for range 60 {
		r := newSpreadRequest("hot")
		r.Random = random.Float64
		server, _ := Choose(v, r, now)
		g.Expect(server).NotTo(BeNil())
		sent[server.Name]++
		server.Gauge.Begin(now)
	}
	g.Expect(sent[s.Servers[3].Name]).To(BeNumerically("<", 30))
	g.Expect(len(sent)).To(BeNumerically(">", 6))
}

// Guards against an old report that makes a server look idle while the service as a whole is busy.
func TestOldReportCountsAsTheUsualLoad(t *testing.T) {
	g := NewWithT(t)
	var gauge catalog.Gauge
	g.Expect(gauge.LoadAgainst(now, 12)).To(Equal(12.0), "before the first report")
	gauge.Report(now, 2)
	g.Expect(gauge.LoadAgainst(now, 12)).To(Equal(2.0))
	g.Expect(gauge.LoadAgainst(now.Add(time.Minute), 12)).To(BeNumerically("~", 12, 0.2))
	g.Expect(gauge.Load(now.Add(time.Minute))).To(BeNumerically("<", 0.1))
}

// Guards against the loss of value by two servers for each object where some objects get many more requests than others, in the
// shape of both deployments, and against a loss by spreading where objects are equally popular.
func TestSpreadingGainsWherePopularityIsUneven(t *testing.T) {
	for _, c := range []struct {
		name string
		site func() replay
		skew float64
		gain float64 // in value
	}{
		{"A, uneven", siteA, 0.9, noiseOfReplays},
		{"B, uneven", siteB, 0.9, noiseOfReplays},
		{"A, even", siteA, 0.3, -noiseOfReplays},
		{"B, even", siteB, 0.3, -noiseOfReplays},
		{"earlier", siteEarlier, 0.5, -noiseOfReplays},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			before := playAll(c.site, replaySeeds, func(r *replay) { r.skew = c.skew })
			after := playAll(c.site, replaySeeds, func(r *replay) { r.skew, r.enabled = c.skew, true })
			before.show(t, "before")
			after.show(t, "after")
			NewWithT(t).Expect(after.all().mean() - before.all().mean()).To(BeNumerically(">", c.gain))
		})
	}
}
