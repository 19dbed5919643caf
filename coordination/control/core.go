// Package control composes the coordination cores and runs them on the one control goroutine.
//
// Core does no I/O: it takes typed events with the current time and returns work in a Ready. Loop feeds it from a
// bounded queue and hands its work to transport workers.
package control

import (
	"azurebridge/coordination/admission"
	"azurebridge/coordination/claims"
	"azurebridge/coordination/message"
	"azurebridge/coordination/reporting"
	"azurebridge/state"
)

// Event is an input of the core.
type Event interface{ event() }

// Admit asks for a grant on behalf of a traffic goroutine.
type Admit struct {
	Ask   *admission.Ask
	Asker admission.Asker
}

// Received is a message from another instance.
type Received struct{ Envelope *message.Envelope }

// Listed brings the platform's list of instances.
type Listed struct{ Instances []state.Instance }

// Stopping tells that this instance begins its planned stop.
type Stopping struct{}

// Inspect asks for a dump of the control state. The core calls Done once, on the control goroutine.
type Inspect struct{ Done func(*Dump) }

func (Admit) event()    {}
func (Received) event() {}
func (Listed) event()   {}
func (Stopping) event() {}
func (Inspect) event()  {}

// Ready is the work that the core wants done.
type Ready struct {
	Messages []*message.Envelope
	Store    []claims.Op     // each needs a StoreDone
	Snapshot *state.Snapshot // nil when unchanged
	Config   ConfigWork
}

// Stats counts what the core did.
type Stats struct {
	Events       uint64
	Received     uint64
	Misaddressed uint64
	OldRevisions uint64
	Holder       admission.HolderStats
	ClaimClient  claims.Stats
	ClaimWriter  claims.Stats
	Reporting    reporting.Stats
}

// Core is the control state of one instance. Control goroutine only.
type Core struct {
	self      state.Instance
	config    *state.Config
	index     *state.Index
	instances []state.Instance
	homes     map[state.RegionName]message.HomeClaim
	loads     map[state.RegionName]state.RegionLoad
	home      *admission.Home // set while this instance is home of its region
	holder    *admission.Holder
	rollout   configState
	claims    claimCores
	reporting *reporting.Core
	leaving   bool
	changed   bool
	local     []admission.Outbound // messages to this instance itself, handled before Ready returns
	ready     Ready
	statusAt  state.Instant
	Stats     Stats
}

// NewCore returns the control state of an instance that knows only itself.
func NewCore(self state.Instance) *Core {
	c := &Core{
		self:  self,
		homes: make(map[state.RegionName]message.HomeClaim),
		loads: make(map[state.RegionName]state.RegionLoad),
	}
	c.config = &state.Config{}
	c.index = state.NewIndex(c.config)
	c.instances = []state.Instance{self}
	c.rollout = newConfigState(self)
	c.holder = admission.NewHolder(self, c.homeOf)
	c.initClaims()
	c.reporting = reporting.New(self)
	c.changed = true
	return c
}

// Step handles one event.
func (c *Core) Step(now state.Instant, ev Event) {
	c.Stats.Events++
	switch ev := ev.(type) {
	case Admit:
		c.holder.Ask(now, ev.Ask, ev.Asker)
	case Received:
		c.receive(now, ev.Envelope)
	case Configured, Undecodable, Recall:
		c.stepConfig(now, ev)
	case Listed:
		c.list(ev.Instances)
		c.rollout.listed = true
	case Stopping:
		c.leaving, c.changed = true, true
	case CollectReport:
		c.reporting.Collect(now, c.reportView(now), ev.Wait, ev.Done)
	case Inspect:
		ev.Done(c.dump(now))
	default:
		c.stepClaims(now, ev)
	}
}

// Release gives a grant back on behalf of a traffic goroutine.
func (c *Core) Release(region state.RegionName, r message.Release) { c.holder.Release(region, r) }

// Tick runs everything that is due.
func (c *Core) Tick(now state.Instant) {
	c.electHome(now)
	if c.home != nil {
		c.home.Tick(now)
		c.reportStatus(now)
	}
	c.holder.Tick(now)
	c.tickConfig(now)
	c.tickClaims(now)
	c.reporting.Tick(now)
}

// Ready returns the work since the last call.
func (c *Core) Ready(now state.Instant) Ready {
	c.holder.Flush()
	c.collect()
	for len(c.local) > 0 {
		batch := c.local
		c.local = nil
		for _, o := range batch {
			c.deliver(now, c.self.Name, c.self.Incarnation, o.Body)
		}
		c.collect()
	}
	if c.changed {
		c.changed = false
		c.ready.Snapshot = c.snapshot()
	}
	r := c.ready
	c.ready = Ready{}
	return r
}

// collect moves the cores' messages to Ready, or to the local queue when they are for this instance.
func (c *Core) collect() {
	c.collectClaims()
	c.collectReporting()
	c.post(c.holder.TakeOutbound())
	c.collectConfig()
	if c.home != nil {
		c.post(c.home.TakeOutbound())
	}
}

func (c *Core) post(list []admission.Outbound) {
	for _, o := range list {
		if o.To == c.self.Name {
			c.local = append(c.local, o)
			continue
		}
		c.ready.Messages = append(c.ready.Messages, &message.Envelope{
			From: c.self.Name, Incarnation: c.self.Incarnation, To: o.To, Body: o.Body,
		})
	}
}

func (c *Core) receive(now state.Instant, e *message.Envelope) {
	c.Stats.Received++
	if e.To != c.self.Name {
		c.Stats.Misaddressed++
		return
	}
	c.deliver(now, e.From, e.Incarnation, e.Body)
}

func (c *Core) deliver(now state.Instant, from state.InstanceName, inc state.Incarnation, b message.Body) {
	switch m := b.(type) {
	case *message.GrantRequest:
		if c.home == nil || m.Region != c.self.Region {
			c.post([]admission.Outbound{{To: from, Body: &message.GrantReply{ID: m.ID, Region: m.Region, Refusal: message.RefusedNotHome}}})
			return
		}
		c.home.Request(now, from, inc, m)
	case *message.GrantReply:
		c.holder.Reply(now, from, m)
	case *message.GrantRelease:
		if c.home != nil && m.Region == c.self.Region {
			c.home.Release(now, from, inc, m)
		}
	case *message.HeldGrants:
		if c.home != nil && m.Region == c.self.Region {
			c.home.Held(now, from, inc, m)
		}
	case *message.HeldGrantsReply:
		c.holder.Confirm(m)
	case *message.RegionStatus:
		c.loads[m.Region] = state.RegionLoad{
			Region: m.Region, Home: from, Epoch: uint64(m.Epoch), Running: m.Running, MaxRunning: m.MaxRunning,
			Services: m.Services, ReportedAt: now,
		}
		c.changed = true
	default:
		c.deliverConfig(now, from, b)
		c.deliverClaims(now, from, b)
		c.deliverReporting(now, from, b)
	}
}

func (c *Core) list(instances []state.Instance) {
	c.instances = instances
	c.changed = true
}

// electHome makes the live instance with the highest rendezvous score the home of each region.
func (c *Core) electHome(state.Instant) {
	best := make(map[state.RegionName]uint64)
	homes := make(map[state.RegionName]message.HomeClaim)
	for _, in := range c.instances {
		if in.Status != state.InstanceLive {
			continue
		}
		score := state.RendezvousScore(string(in.Region), string(in.Name))
		if score >= best[in.Region] {
			best[in.Region] = score
			homes[in.Region] = message.HomeClaim{Region: in.Region, Epoch: 1, Home: in.Name}
		}
	}
	c.homes = homes
	mine := homes[c.self.Region].Home == c.self.Name
	if mine && c.home == nil {
		c.home = admission.NewHome(c.self.Region, 1)
		c.home.ApplyConfig(c.config, c.index)
	}
	if !mine {
		c.home = nil
	}
}

// reportStatus sends the load of the region to all instances.
func (c *Core) reportStatus(now state.Instant) {
	if now.Sub(c.statusAt) < StatusInterval {
		return
	}
	c.statusAt = now
	st := c.home.Status()
	for _, in := range c.instances {
		c.post([]admission.Outbound{{To: in.Name, Body: st}})
	}
}

func (c *Core) homeOf(r state.RegionName) (state.InstanceName, message.Epoch) {
	h := c.homes[r]
	return h.Home, h.Epoch
}

func (c *Core) snapshot() *state.Snapshot {
	loads := make(map[state.RegionName]state.RegionLoad, len(c.loads))
	for k, v := range c.loads {
		loads[k] = v
	}
	return &state.Snapshot{
		Self: c.self, Config: c.config, Index: c.index, Instances: c.instances, Loads: loads, Leaving: c.leaving,
	}
}
