// Package control composes the coordination cores and runs them on the one control goroutine.
//
// Core does no I/O: it takes typed events with the current time and returns work in a Ready. Loop feeds it from a
// bounded queue and hands its work to transport workers.
package control

import (
	"azurebridge/coordination/admission"
	"azurebridge/coordination/claims"
	"azurebridge/coordination/homelease"
	"azurebridge/coordination/membership"
	"azurebridge/coordination/message"
	"azurebridge/coordination/reporting"
	"azurebridge/state"
)

// Event is an input of the core.
type Event interface{ event() }

// Admit asks for a grant on behalf of a traffic goroutine.
type Admit struct {
	Ask       *admission.Ask
	Requester admission.Requester
}

// Received is a message from another instance.
type Received struct{ Envelope *message.Envelope }

// Listed is the event that delivers the platform's list of instances.
type Listed struct{ Instances []state.Instance }

// Stopping is the event that starts the planned stop of this instance.
type Stopping struct{}

// Inspect asks for a dump of the control state. The core calls Done once, on the control goroutine.
type Inspect struct{ Done func(*Dump) }

func (Admit) event()    {}
func (Received) event() {}
func (Listed) event()   {}
func (Stopping) event() {}
func (Inspect) event()  {}

// Ready is the pending work of the core, for its caller to carry out.
type Ready struct {
	Messages []*message.Envelope
	Store    []StoreOp
	Probes   []Probe
	Claims   []claims.Op     // each must be answered by StoreDone
	Snapshot *state.Snapshot // nil when unchanged
	Config   ConfigWork
}

// Stats counts what the core did.
type Stats struct {
	Events       uint64
	Received     uint64
	Misaddressed uint64 // messages to another instance, or heartbeats in another's name
	OldRevisions uint64 // configurations that were not newer than the one in force
	LostOps      uint64 // store operations that failed
	ProvedGone   uint64 // instances with expired grants whose process was proved to have ended
	Holder       admission.HolderStats
	ClaimClient  claims.Stats
	ClaimWriter  claims.Stats
	Members      membership.Stats
	Reporting    reporting.Stats
}

// Core is the control state of one instance. Control goroutine only.
type Core struct {
	self          state.Instance
	config        *state.Config
	index         *state.Index
	table         *membership.Table
	election      *homelease.Election
	homes         map[state.RegionName]message.HomeClaim // by region, the claim with the highest epoch
	loads         map[state.RegionName]state.RegionLoad
	home          *admission.Home          // set while this instance is home of its region
	epoch         message.Epoch            // of home; 0 without home
	handoverParts []*message.GrantHandover // from a resigned home, buffered until this instance succeeds it
	holder        *admission.Holder
	heartbeats    heartbeatState
	relays        relays // used while this instance is home
	live          state.LiveIndex
	liveFrom      []state.Instance // list that live was built from
	rollout       configState
	claims        claimCores
	reporting     *reporting.Core
	leaving       bool
	changed       bool                 // the next Ready needs a new snapshot
	trafficAt     state.Instant        // last event or message that belongs to requests or submissions
	local         []admission.Outbound // messages to this instance itself, handled before Ready returns
	ready         Ready
	opID          uint64
	Stats         Stats
}

// NewCore returns the control state of a process that starts at the instant 0 of its clock and knows only itself.
func NewCore(self state.Instance) *Core {
	c := &Core{
		self:  self,
		homes: make(map[state.RegionName]message.HomeClaim),
		loads: make(map[state.RegionName]state.RegionLoad),
	}
	c.config = &state.Config{}
	c.index = state.NewIndex(c.config)
	c.table = membership.New(0, self)
	c.election = homelease.NewElection(0, self)
	c.heartbeats, c.relays = newHeartbeatState(), newRelays()
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
	c.syncLease(now)
	switch ev := ev.(type) {
	case Admit:
		c.trafficAt = now
		c.holder.Ask(now, ev.Ask, ev.Requester)
	case Received:
		c.receive(now, ev.Envelope)
	case Configured, Undecodable, FindRevision:
		c.stepConfig(now, ev)
	case Listed:
		c.table.List(now, ev.Instances)
	case Stored:
		c.handleStored(now, ev)
	case Probed:
		c.handleProbed(now, ev)
	case Stopping:
		c.beginStop(now)
	case CollectReport:
		c.reporting.Collect(now, c.reportView(now), ev.Wait, ev.Done)
	case Inspect:
		ev.Done(c.dump(now))
	default:
		c.trafficAt = now
		c.stepClaims(now, ev)
	}
}

// Release returns a grant on behalf of a traffic goroutine.
func (c *Core) Release(region state.RegionName, r message.Release) { c.holder.Release(region, r) }

// Tick runs all periodic work that is due.
func (c *Core) Tick(now state.Instant) {
	c.tickElection(now)
	if now.Sub(c.heartbeats.tableTickAt) >= tableTickInterval {
		c.heartbeats.tableTickAt = now
		c.table.Tick(now)
	}
	if c.home != nil {
		c.home.Tick(now)
		c.probeSuspects()
		c.sendStatus(now)
	}
	c.sendHeartbeats(now)
	c.holder.Tick(now)
	c.tickConfig(now)
	c.tickClaims(now)
	c.reporting.Tick(now)
}

// Ready returns the work since the last call.
func (c *Core) Ready(now state.Instant) Ready {
	c.syncLease(now)
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
	c.collectStoreOps()
	instances := c.table.Instances()
	if c.table.TakeChanged() || c.changed {
		c.changed = false
		c.ready.Snapshot = c.snapshot(instances)
	}
	r := c.ready
	c.ready = Ready{}
	return r
}

// collect moves the cores' messages to Ready, or to the local queue when they are for this instance.
func (c *Core) collect() {
	c.collectClaims()
	c.collectReporting()
	c.send(c.holder.TakeOutbound())
	c.collectConfig()
	if c.home != nil {
		c.send(c.home.TakeOutbound())
	}
	for _, o := range c.election.TakeOutbound() {
		c.send([]admission.Outbound{{To: o.To, Body: o.Body}})
	}
}

func (c *Core) send(list []admission.Outbound) {
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
	c.table.RecordMessage(now, e.From, e.Incarnation)
	if isTraffic(e.Body) {
		c.trafficAt = now
	}
	c.deliver(now, e.From, e.Incarnation, e.Body)
}

func (c *Core) deliver(now state.Instant, from state.InstanceName, inc state.Incarnation, b message.Body) {
	switch m := b.(type) {
	case *message.GrantRequest:
		if c.home == nil || m.Region != c.self.Region {
			c.send([]admission.Outbound{{To: from, Body: &message.GrantReply{ID: m.ID, Region: m.Region, Refusal: message.RefusedNotHome, Holder: inc, SentAt: m.SentAt}}})
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
			c.home.HandleReport(now, from, inc, m)
		}
	case *message.GrantHandover:
		c.handleHandover(now, m)
	case *message.HeldGrantsReply:
		c.holder.Confirm(now, from, m)
	case *message.Heartbeat:
		c.handleHeartbeat(now, from, m)
	case *message.HeartbeatReply:
		c.handleHeartbeatReply(now, from, inc, m)
	case *message.RegionStatus:
		c.handleRegionStatus(now, from, m)
	case *message.ConfigOffer, *message.ConfigPull, *message.ConfigPush:
		c.deliverConfig(now, from, b)
	case *message.ClaimRequest, *message.ClaimReply, *message.OutcomeReport, *message.OutcomeAck:
		c.deliverClaims(now, from, b)
	case *message.ReportRequest, *message.ReportPage:
		c.deliverReporting(now, from, b)
	default:
		c.election.Receive(now, from, inc, b)
	}
}

func (c *Core) snapshot(instances []state.Instance) *state.Snapshot {
	loads := make(map[state.RegionName]state.RegionLoad, len(c.loads))
	for k, v := range c.loads {
		loads[k] = v
	}
	if c.live == nil || !sameSlice(c.liveFrom, instances) {
		if c.live == nil || !sameMembers(c.liveFrom, instances) {
			c.live = state.NewLiveIndex(instances, c.live)
		}
		c.liveFrom = instances
	}
	return &state.Snapshot{
		Self: c.self, Config: c.config, Index: c.index, Instances: instances, Live: c.live, Loads: loads, Leaving: c.leaving,
	}
}
