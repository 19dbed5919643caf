package front

import (
	"math/rand/v2"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/placement"
	"azurebridge/state"
	"azurebridge/transport/backendconn"
)

// wanted returns the properties of the request that determine its server.
func (q *request) wanted(now state.Instant) *placement.Request {
	m := q.m
	return &placement.Request{
		Service: q.service, Object: q.affinityKey(), Route: q.route, Customer: q.customer, Region: m.opts.Region,
		Bulk: m.sizes.bulk(q.route), Tried: q.tried, Random: rand.Float64, TimeLeft: q.timeLeft(),
		OverloadControl: m.overload.Load(), Priority: q.priority(), Retry: q.sent > 0, Waited: now.Sub(q.arrived),
	}
}

// priority returns the request's effective priority: its customer's or its route's.
func (q *request) priority() int { return q.route.PriorityFor(q.customer) }

// recordArrival counts the request for the estimates of its service, which only overload control uses.
func (q *request) recordArrival(service *catalog.Service) {
	if !q.m.overload.Load() {
		return
	}
	service.Pressure.Arrived(q.arrived, q.priority(), q.route.TargetLatency)
	if object := q.affinityKey(); object != "" {
		service.Objects.Record(object)
	}
}

// recordLoad records the load that a server has reported in its answer.
func (q *request) recordLoad(server *catalog.Server, marks backendconn.Marks, now state.Instant) {
	if marks.Slowness > 0 {
		server.Gauge.ReportSlowness(now, marks.Slowness)
	}
	if !q.m.overload.Load() {
		return
	}
	utilization := float64(marks.Running+marks.Waiting) / float64(max(1, server.Slots))
	q.view.Services[q.service].Pressure.Reported(now, utilization, marks.NotRun && !marks.WrongServer)
}

// recordWork records how long a server took for the request.
func (q *request) recordWork(server *catalog.Server, took time.Duration, now state.Instant) {
	service, load := q.view.Services[q.service], server.Gauge.Load(now)
	service.Time.Record(took, load, server.Slots)
	if !q.m.overload.Load() {
		return
	}
	service.Work.Record(q.kind, took, load, server.Slots)
	q.recordServed(now)
}

// recordServed records whether a request that was served is late.
func (q *request) recordServed(now state.Instant) {
	if target := q.route.TargetLatency; target > 0 && now.Sub(q.arrived) > target {
		q.view.Services[q.service].Pressure.Late(now, q.priority())
	}
}

// recordRefusal counts a try that was refused for the reason.
func (q *request) recordRefusal(reason placement.Reason, now state.Instant) {
	if !reason.OfOverload() {
		return
	}
	q.view.Services[q.service].Pressure.Refused(now, q.priority())
	stats := &q.m.Stats
	switch reason {
	case placement.Hopeless:
		stats.RefusedHopeless.Add(1)
	case placement.Late:
		stats.RefusedLate.Add(1)
	case placement.LessUrgent:
		stats.RefusedLessUrgent.Add(1)
	case placement.Displacing:
		stats.RefusedDisplacing.Add(1)
	default:
		stats.RefusedOverloaded.Add(1)
	}
}
