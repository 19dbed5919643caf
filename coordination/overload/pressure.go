// Package overload decides, when a service is short of capacity, which requests are served and which are refused at once. Its
// decisions are pure functions; the estimates that they use are gauges with the time passed in.
package overload

import (
	"math"
	"sync"
	"time"

	"azurebridge/state"
)

// Memory of the estimates.
const (
	// reportMemory is the time in which a report of a server loses 63% of its weight in the estimate of the whole service. It is
	// about the time that a queue of a few requests takes to fill or drain.
	reportMemory = 1 * time.Second
	// classMemory is the same for the counts of requests by priority. A share has to be estimated from tens of requests, and an
	// instance may see few a second.
	classMemory = 4 * time.Second
	// numClasses bounds the priorities that are told apart; less urgent ones count with the last.
	numClasses = 8
)

// Pressure estimates from the requests of one instance how short of capacity a service is. It is safe for concurrent use.
type Pressure struct {
	mu      sync.Mutex
	reports decayed // number of reports
	load    decayed // sum of reported utilizations
	rejects decayed // answers that reject a request for lack of capacity
	classes [numClasses]class
}

// class counts the requests of one priority.
type class struct {
	arrived decayed
	refused decayed
	late    decayed // served after their target latency
	target  decayed // sum of their target latencies in seconds
}

// decayed is a sum whose terms lose weight with their age.
type decayed struct {
	sum float64
	at  state.Instant
}

func (d *decayed) add(now state.Instant, memory time.Duration, x float64) {
	d.sum = d.value(now, memory) + x
	d.at = max(d.at, now)
}

func (d *decayed) value(now state.Instant, memory time.Duration) float64 {
	return d.sum * math.Exp(-float64(max(0, now.Sub(d.at)))/float64(memory))
}

// Reported records the utilization that a server has reported, in requests per slot, and whether it rejected the request for lack
// of capacity.
func (p *Pressure) Reported(now state.Instant, utilization float64, rejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports.add(now, reportMemory, 1)
	p.load.add(now, reportMemory, utilization)
	if rejected {
		p.rejects.add(now, reportMemory, 1)
	}
}

// Arrived counts a caller's request with a priority and a target latency.
func (p *Pressure) Arrived(now state.Instant, priority int, target time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.classes[classOf(priority)]
	c.arrived.add(now, classMemory, 1)
	c.target.add(now, classMemory, target.Seconds())
}

// Refused counts a request that was not served for lack of capacity.
func (p *Pressure) Refused(now state.Instant, priority int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.classes[classOf(priority)].refused.add(now, classMemory, 1)
}

// Late counts a request that was served after its target latency.
func (p *Pressure) Late(now state.Instant, priority int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.classes[classOf(priority)].late.add(now, classMemory, 1)
}

func classOf(priority int) int { return min(max(priority, 0), numClasses-1) }

// State is the estimate at one moment.
type State struct {
	Utilization float64       // mean requests per slot over the servers that have reported lately; 0 without reports
	Rejecting   float64       // share of the answers that reject a request for lack of capacity
	Target      time.Duration // mean target latency of the requests
	Classes     [numClasses]ClassState
}

// ClassState is the estimate for the requests of one priority.
type ClassState struct {
	Share   float64 // of the requests of the service
	Refused float64 // share of the class that was refused lately
	Late    float64 // share of the class that was late lately
}

const (
	// minReports is the weight of reports below which an estimate is not used alone: the rest counts as idle. An instance that
	// has sent nothing for some seconds thus begins without refusing.
	minReports = 2
	// minArrivals is the same for the requests of a class.
	minArrivals = 5
)

// At returns the estimate.
func (p *Pressure) At(now state.Instant) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := max(minReports, p.reports.value(now, reportMemory))
	s := State{Utilization: p.load.value(now, reportMemory) / reports, Rejecting: p.rejects.value(now, reportMemory) / reports}
	total, target := 0.0, 0.0
	var arrived [numClasses]float64
	for i := range p.classes {
		c := &p.classes[i]
		if c.arrived.sum == 0 {
			continue
		}
		arrived[i] = c.arrived.value(now, classMemory)
		total += arrived[i]
		target += c.target.value(now, classMemory)
		s.Classes[i].Refused = min(1, c.refused.value(now, classMemory)/max(minArrivals, arrived[i]))
		s.Classes[i].Late = min(1, c.late.value(now, classMemory)/max(minArrivals, arrived[i]))
	}
	if total == 0 {
		return s
	}
	for i := range arrived {
		s.Classes[i].Share = arrived[i] / total
	}
	s.Target = time.Duration(target / total * float64(time.Second))
	return s
}
