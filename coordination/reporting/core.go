// Package reporting collects the contributions to a steering report from the fleet. An instance asks the members of its own
// region and one collector of each other region; a collector asks the members of its region. No instance therefore contacts
// all others.
package reporting

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/message"
	"azurebridge/state"
	"azurebridge/state/report"
)

// Bounds of collections.
const (
	MaxCollections  = 16                     // concurrent collections at one instance
	MaxWait         = 5 * time.Second        // max duration of one collection
	ReuseFor        = 500 * time.Millisecond // how long a collector answers with its last collected part
	memberWaitShare = 0.6                    // share of the wait that a collector waits for its members
	retryShare      = 0.4                    // share of the wait after which unresponsive sources are asked again
)

// ErrBusy reports that MaxCollections collections are running.
var ErrBusy = errors.New("too many reports are being collected")

// Source provides this instance's own figures. Summary runs on the control goroutine, so it must not wait for a goroutine that
// may itself wait.
type Source interface{ Summary() *report.Part }

// Outbound is a message to send.
type Outbound struct {
	To   state.InstanceName
	Body message.Body
}

// View is the state of the fleet that a collection uses.
type View struct {
	Instances []state.Instance
	Home      map[state.RegionName]state.InstanceName
	Revision  state.Revision
	Load      *report.RegionView // of the own region; nil when not known
}

// Stats counts what the core did.
type Stats struct {
	Collections uint64
	Busy        uint64 // refused because of MaxCollections
	Requests    uint64 // of other instances
	Pages       uint64
	Late        uint64 // pages that no collection waits for
	Invalid     uint64 // pages that break a bound
	Reused      uint64 // requests answered with the part of an earlier collection
}

// Core collects reports and answers the requests of other instances. Control goroutine only.
type Core struct {
	Source      Source // nil while there are no figures
	Stats       Stats
	self        state.Instance
	nextID      uint64
	collections map[uint64]*collection
	regionPart  *report.Part  // last part collected for the own region
	regionAt    state.Instant // when regionPart was collected
	out         []Outbound
}

// collection is a running collection of a report's part.
type collection struct {
	started  state.Instant
	deadline state.Instant
	retryAt  state.Instant
	retried  bool
	regional bool // for the own region only
	part     *report.Part
	sources  []*source
	done     func(*report.Part, error)
}

// source is a member of the own region, or the instances that may collect for another region.
type source struct {
	region   state.RegionName
	names    []state.InstanceName // asked in this order: the second when the first does not answer
	members  int                  // instances that the answer stands for
	answered bool
	answers  map[state.InstanceName]*answer
}

// answer holds the received pages of one instance's answer.
type answer struct {
	pages   []*report.Part
	missing int
}

// New returns the core of an instance.
func New(self state.Instance) *Core {
	return &Core{self: self, collections: make(map[uint64]*collection)}
}

// TakeOutbound returns the messages to send since the last call.
func (c *Core) TakeOutbound() []Outbound {
	out := c.out
	c.out = nil
	return out
}

// Collect gathers the figures of the fleet. It calls done once, at the latest after wait or MaxWait, or at once with ErrBusy.
func (c *Core) Collect(now state.Instant, v View, wait time.Duration, done func(*report.Part, error)) {
	c.start(now, v, &collection{deadline: now.Add(min(wait, MaxWait)), sources: append(c.members(v), c.collectors(v)...), done: done})
}

// Request answers a report request of another instance.
func (c *Core) Request(now state.Instant, v View, from state.InstanceName, r *message.ReportRequest) {
	c.Stats.Requests++
	if r.Scope != message.ReportRegion {
		c.sendPart(from, r.ID, c.ownPart(v))
		return
	}
	if c.regionPart != nil && now.Sub(c.regionAt) < ReuseFor {
		c.Stats.Reused++
		c.sendPart(from, r.ID, c.regionPart.WithAddedAge(now.Sub(c.regionAt)))
		return
	}
	wait := time.Duration(float64(min(r.Wait, MaxWait)) * memberWaitShare)
	c.start(now, v, &collection{deadline: now.Add(wait), regional: true, sources: c.members(v), done: func(p *report.Part, err error) {
		if err == nil {
			c.sendPart(from, r.ID, p)
		}
	}})
}

// Page handles one page of an answer. Late, repeated and malformed pages are ignored.
func (c *Core) Page(now state.Instant, from state.InstanceName, m *message.ReportPage) {
	c.Stats.Pages++
	col := c.collections[m.ID]
	if col == nil {
		c.Stats.Late++
		return
	}
	if m.Pages < 1 || m.Pages > message.MaxReportPages || m.Page < 0 || m.Page >= m.Pages || !m.Part.Valid() {
		c.Stats.Invalid++
		return
	}
	for _, s := range col.sources {
		if !s.answered && slices.Contains(s.names, from) {
			if p := s.add(from, m); p != nil {
				s.answered = true
				if s.region == c.self.Region { // this instance is the region's only collector
					p.Sources = []report.Source{{Region: s.region, Collector: c.self.Name, Asked: 1, Answered: 1}}
				}
				col.part = report.Merge(col.part, p)
			}
			break
		}
	}
	c.finish(now, m.ID, col)
}

// add stores a page and returns the merged part when all pages have arrived, otherwise nil.
func (s *source) add(from state.InstanceName, m *message.ReportPage) *report.Part {
	a := s.answers[from]
	if a == nil || len(a.pages) != m.Pages {
		a = &answer{pages: make([]*report.Part, m.Pages), missing: m.Pages}
		s.answers[from] = a
	}
	if a.pages[m.Page] == nil {
		a.pages[m.Page] = &m.Part
		a.missing--
	}
	if a.missing > 0 {
		return nil
	}
	merged := &report.Part{}
	for _, p := range a.pages {
		merged = report.Merge(merged, p)
	}
	return merged
}

// Tick asks unresponsive sources again and ends collections that have reached their deadline.
func (c *Core) Tick(now state.Instant) {
	for id, col := range c.collections {
		if !col.retried && !now.Before(col.retryAt) {
			col.retried = true
			c.ask(now, id, col, 1)
		}
		c.finish(now, id, col)
	}
}

func (c *Core) start(now state.Instant, v View, col *collection) {
	if len(c.collections) >= MaxCollections {
		c.Stats.Busy++
		col.done(nil, errors.WithStack(ErrBusy))
		return
	}
	c.Stats.Collections++
	c.nextID++
	col.started, col.part = now, c.ownPart(v)
	col.retryAt = now.Add(time.Duration(float64(col.deadline.Sub(now)) * retryShare))
	c.collections[c.nextID] = col
	c.ask(now, c.nextID, col, 0)
	c.finish(now, c.nextID, col)
}

// ask sends the request to the nth name of each source that has not answered, or to its last name if it has fewer.
func (c *Core) ask(now state.Instant, id uint64, col *collection, nth int) {
	for _, s := range col.sources {
		if s.answered {
			continue
		}
		scope := message.ReportRegion
		if s.region == c.self.Region {
			scope = message.ReportInstance
		}
		to := s.names[min(nth, len(s.names)-1)]
		c.out = append(c.out, Outbound{to, &message.ReportRequest{ID: id, Scope: scope, Wait: col.deadline.Sub(now)}})
	}
}

// finish ends a collection that is complete or has reached its deadline.
func (c *Core) finish(now state.Instant, id uint64, col *collection) {
	if now.Before(col.deadline) && slices.ContainsFunc(col.sources, func(s *source) bool { return !s.answered }) {
		return
	}
	delete(c.collections, id)
	for _, s := range col.sources {
		if !s.answered {
			col.part = report.Merge(col.part, c.missingPart(s))
		}
	}
	part := col.part
	part = part.WithAddedAge(now.Sub(col.started)) // upper bound: all contributions were made after the start
	if col.regional {
		c.regionPart, c.regionAt = part, now
	}
	col.done(part, nil)
}
