package catalog

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/coordination/quota"
	"azurebridge/state"
)

// loadHalfWeightAge is the age at which a reported load counts half.
const loadHalfWeightAge = 800 * time.Millisecond

// Gauge holds what the traffic goroutines learn of one process of a backend server: its load, its limit, and whether it asks for
// no further requests. It is retained while the server's entry is missing from the store. It is safe for concurrent use.
type Gauge struct {
	ColdPacer quota.Pacer
	Pause     quota.Pause // the server has asked for no requests until then
	Limit     quota.NamedLimit
	// LimitPacer keeps this instance's requests within its part of the limit.
	LimitPacer quota.Pacer

	leaving atomic.Bool

	mu           sync.Mutex
	startTimes   []state.Instant // of this instance's requests at the server, oldest first
	reportedLoad int             // requests that the server ran or queued, by its last report
	reportedAt   state.Instant   // of the last report; 0 before the first
	sentSince    int             // requests that this instance has sent since the last report
	slowness     float64         // last reported work time as a multiple of the usual; 0 before the first report
	slownessAt   state.Instant   // of that report
}

// SetLeaving records that the server has said that it leaves, which is final for its process. It returns false when that was
// known already.
func (g *Gauge) SetLeaving() bool { return !g.leaving.Swap(true) }

// Leaving reports whether the server has said that it leaves. It must get no further requests, whatever the store says.
func (g *Gauge) Leaving() bool { return g.leaving.Load() }

// Begin counts a request that is sent to the server.
func (g *Gauge) Begin(now state.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startTimes = append(g.startTimes, now)
	g.sentSince++
}

// End removes a request that began at the given time.
func (g *Gauge) End(start state.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.startTimes, start); i >= 0 {
		g.startTimes = slices.Delete(g.startTimes, i, i+1)
	}
}

// OldestRequestAge returns the age of this instance's oldest request at the server, or 0 without one.
func (g *Gauge) OldestRequestAge(now state.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.startTimes) == 0 {
		return 0
	}
	return now.Sub(g.startTimes[0])
}

// Report records the load that the server reported in a response.
func (g *Gauge) Report(at state.Instant, load int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportedAt, g.reportedLoad, g.sentSince = at, max(0, load), 0
}

// Load estimates the number of requests at the server. It is the reported load plus the requests sent since, with a weight
// that falls with the age of the report, or the number of this instance's own requests there if that is higher.
func (g *Gauge) Load(now state.Instant) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := float64(len(g.startTimes))
	if g.reportedAt == 0 {
		return own
	}
	age := max(0, now.Sub(g.reportedAt))
	return max(own, float64(g.reportedLoad+g.sentSince)*float64(loadHalfWeightAge)/float64(loadHalfWeightAge+age))
}

// LoadAgainst estimates the number of requests at the server as Load does, but with the usual number of requests at a server of the
// service in place of what the age of the report takes from its weight: an old report says little, and not that the server is idle.
func (g *Gauge) LoadAgainst(now state.Instant, usual float64) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := float64(len(g.startTimes))
	if g.reportedAt == 0 {
		return max(own, usual)
	}
	weight := float64(loadHalfWeightAge) / float64(loadHalfWeightAge+max(0, now.Sub(g.reportedAt)))
	return max(own, weight*float64(g.reportedLoad+g.sentSince)+(1-weight)*usual)
}

// Bounds of a reported work time, as a multiple of the usual. They keep a faulty report from attracting or repelling all requests.
const (
	MinSlowness = 0.2
	MaxSlowness = 10
)

// slownessHalfWeightAge is the age at which a reported work time counts half. Work times change about each 600 ms, so that a
// report of that age says little and one of half that age holds in half of the cases.
const slownessHalfWeightAge = 300 * time.Millisecond

// ReportSlowness records how long work took on the server in a response, as a multiple of the usual.
func (g *Gauge) ReportSlowness(at state.Instant, slowness float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowness, g.slownessAt = min(max(slowness, MinSlowness), MaxSlowness), at
}

// Slowness estimates how long work takes on the server now, as a multiple of the usual. It is 1 for a server that has reported
// none, and approaches 1 with the age of the last report.
func (g *Gauge) Slowness(now state.Instant) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slowness == 0 {
		return 1
	}
	age := max(0, now.Sub(g.slownessAt))
	return 1 + (g.slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfWeightAge))
}

// ServiceTime estimates how long the servers of a service take for a request, queueing excluded. It is safe for concurrent
// use.
type ServiceTime struct {
	nanos atomic.Int64
	count atomic.Int64 // of measurements
}

// smoothingDivisor sets the weight of the newest response in the moving average: 1/smoothingDivisor.
const smoothingDivisor = 8

// Record adds a measured time, queueing included, of a server with the given load and number of slots.
func (s *ServiceTime) Record(took time.Duration, load float64, slots int) {
	s.record(unqueued(took, load, slots), smoothingDivisor)
}

// unqueued returns the part of the time that the work took on a server with the given load and number of slots.
func unqueued(took time.Duration, load float64, slots int) time.Duration {
	return time.Duration(float64(took) / max(1, load/float64(max(1, slots))))
}

// record adds a time to the moving average with a weight of 1/divisor.
func (s *ServiceTime) record(took time.Duration, divisor int64) {
	s.count.Add(1)
	old := s.nanos.Load()
	if old == 0 {
		s.nanos.Store(int64(took))
		return
	}
	s.nanos.Store(old + (int64(took)-old)/divisor)
}

// Estimate returns the mean time, or 0 before the first measurement.
func (s *ServiceTime) Estimate() time.Duration { return time.Duration(s.nanos.Load()) }

// WorkTimes estimates the service time of requests by what the server probably has cached. It is safe for concurrent use.
type WorkTimes struct {
	member, other, plain ServiceTime
}

// WorkKind tells requests apart by what the server probably has cached.
type WorkKind int

const (
	MemberWork WorkKind = iota // the server is one of those that usually get the object
	OtherWork                  // the server is any other
	PlainWork                  // the request concerns no object
)

// workSmoothing is as smoothingDivisor, for WorkTimes. Some requests take seven times as long as the mean; one of them must not
// nearly double an estimate from which requests are refused.
const workSmoothing = 32

// Record adds a measured time as ServiceTime.Record does.
func (w *WorkTimes) Record(kind WorkKind, took time.Duration, load float64, slots int) {
	s := w.of(kind)
	s.record(unqueued(took, load, slots), min(workSmoothing, s.count.Load()+1)) // at first the mean of all
}

func (w *WorkTimes) of(kind WorkKind) *ServiceTime {
	return [...]*ServiceTime{&w.member, &w.other, &w.plain}[kind]
}

// Estimate returns the time of a kind; 0 before the first measurement. Work at other servers takes at least as long as at those that
// usually get the object.
func (w *WorkTimes) Estimate(kind WorkKind) time.Duration {
	if kind == OtherWork {
		return max(w.other.Estimate(), w.member.Estimate())
	}
	return w.of(kind).Estimate()
}

// Usual returns the time of the requests that the servers are there for: those of an object at its servers, or without any those that
// concern no object.
func (w *WorkTimes) Usual() time.Duration {
	if t := w.member.Estimate(); t > 0 {
		return t
	}
	return w.plain.Estimate()
}

// Distance is the shortest time in which a connection to a server of a region was opened, which is about one round trip. It is
// safe for concurrent use.
type Distance struct {
	nanos atomic.Int64 // 0 before the first measurement
}

// Record adds a measured time.
func (d *Distance) Record(took time.Duration) {
	for {
		shortest := d.nanos.Load()
		if shortest != 0 && int64(took) >= shortest || d.nanos.CompareAndSwap(shortest, max(1, int64(took))) {
			return
		}
	}
}

// Estimate returns the time, or 0 before the first measurement.
func (d *Distance) Estimate() time.Duration { return time.Duration(d.nanos.Load()) }
