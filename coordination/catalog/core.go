package catalog

import (
	"time"

	"azurebridge/coordination/quarantine"
	"azurebridge/coordination/quota"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Time limits of the core.
const (
	// OutageGrace is how long entries that are missing after a store outage stay in use: live servers register again within
	// about 2 s. A longer time would delay the removal of servers whose departure an instance missed while disconnected.
	OutageGrace = 1900 * time.Millisecond
	// outageRecoveryTime is how long after the end of a store outage missing entries may still be due to it.
	outageRecoveryTime = 2500 * time.Millisecond
	// massExpiryGrace is the grace period for many entries that disappear at once without a known outage. It ends before
	// the deadline by which a server that has left must get no more requests.
	massExpiryGrace = 1200 * time.Millisecond
	// AssumedColdTime is how long a server that may have restarted unnoticed is treated as cold, unless its next heartbeat
	// says otherwise.
	AssumedColdTime = 3 * time.Second
	// instanceRetention is how long an instance that has left still counts for shared limits.
	instanceRetention = 15 * time.Second
)

// maxServerLogEntries is the max number of new servers in one change that get a log entry each.
const maxServerLogEntries = 3

// Min number of servers, and min share of all servers, that must disappear together to count as a mass expiry of leases.
const (
	massExpiryMinCount = 4
	massExpiryMinShare = 0.25
)

// Options configure a core. A Limits event replaces Cold and Customers.
type Options struct {
	Self      state.InstanceName
	StartedMS int64 // when the process started, in ms since 1970
	Cold      quota.ColdLimit
	Customers quota.CustomerBound
	// OnEvidence is called with what other instances should learn of a request; nil for none. It must not block.
	OnEvidence func(now state.Instant, r quarantine.Record)
}

// Core holds the control state. It belongs to the control goroutine.
type Core struct {
	opts          Options
	table         *routing.Table
	tableKey      string
	servers       map[string]*trackedServer // by key
	byAddress     map[string]string         // key of the server that an address belongs to
	departed      map[string]departure
	retained      map[string]state.Instant // until when keys stay in use that a copy of the store lacks
	evacuated     map[string]Evacuation
	peers         map[string]*routing.Peer
	peersChanged  uint64 // number of changes of peers
	issuer        *quota.Issuer
	issuerBasis   issuerBasis
	joinedMS      int64          // when this instance joined; 0 before the first listing
	owners        quota.PeerList // that owners of customers follow from
	listed        []routing.Peer // its last state
	listChanged   uint64         // number of changes of listed
	listBasis     uint64         // peersChanged that owners reflects
	counters      map[state.ServiceName]*Counters
	distances     map[state.RegionName]*Distance
	fleetKey      []byte
	fleetKeyKey   string
	contact       storeContact
	stopping      bool
	peakInstances int // recent max number of live instances
	peakAt        state.Instant
	logEntries    []LogEntry
	dirty         bool
	revision      Revision // store revision up to which the facts are known
	source        Source   // of the facts being applied
	verifiedAt    state.Instant
	unmet         []Verified // proofs of revisions that are not known yet, oldest first
	lastView      *View
	breaks        quarantine.Breaks
	ledger        *quarantine.Ledger
}

// trackedServer is a backend server with this instance's knowledge of it.
type trackedServer struct {
	routing.Backend
	health           health
	gauge            *Gauge
	assumedColdUntil state.Instant // the server may be cold until then
	missingSince     state.Instant // when its entry disappeared, if that may be due to an expired lease; 0 otherwise
	grace            time.Duration // how long it stays in use after missingSince
	limitBasis       limitBasis
	limitPace        quota.Pace // for limitBasis
}

// NewCore returns an empty core.
func NewCore(opts Options) *Core {
	return &Core{
		opts: opts, servers: make(map[string]*trackedServer), byAddress: make(map[string]string), departed: make(map[string]departure), retained: make(map[string]state.Instant), evacuated: make(map[string]Evacuation),
		peers: make(map[string]*routing.Peer), counters: make(map[state.ServiceName]*Counters), distances: make(map[state.RegionName]*Distance), dirty: true,
		issuer: quota.NewIssuer(opts.Self), ledger: quarantine.NewLedger(opts.Self),
	}
}

// Step applies an event, then removes missing servers whose grace period has ended.
func (c *Core) Step(now state.Instant, ev Event) {
	switch ev := ev.(type) {
	case Listed:
		c.list(now, ev)
	case Changed:
		if c.advance(ev.Source, ev.After, ev.Revision) && len(ev.Items) > 0 {
			c.applyChanges(now, ev.Items)
		}
	case StoreLost, WatchInterrupted, StoreRecovered, LeaseRenewed:
		c.updateContact(now, ev)
	case Observed:
		c.observe(now, ev)
	case LimitNamed:
		c.dirty = true
	case LimitEnded:
		c.endLimit(ev)
	case Verified:
		c.verify(ev)
	case Collect:
		ev.Reply <- StoreContent{Revision: c.revision, Items: c.items(now)}
	case Limits:
		c.opts.Cold, c.opts.Customers, c.dirty = ev.Cold, ev.Customers, true
	case AskPermits, HeardApart, ContactChecked, CollectBuckets:
		c.stepIssuer(now, ev)
		return // these come often and change nothing else
	case Stopping:
		c.stopping, c.dirty = true, true
	default:
		c.stepQuarantine(now, ev)
	}
	c.expire(now)
	c.updateIssuer(now)
	c.judgeQuarantine(now)
}

// updateContact records whether the store answers. Interruptions of watches may be frequent and get no log entry.
func (c *Core) updateContact(now state.Instant, ev Event) {
	before := c.contact
	switch ev.(type) {
	case StoreLost:
		c.contact.failed(now)
	case WatchInterrupted:
		c.contact.interrupted(now)
	default:
		c.contact.answered(now)
	}
	switch {
	case c.contact.callFailed && !before.callFailed:
		c.log("store unavailable")
	case before.callFailed && !c.contact.callFailed:
		c.log("store available again")
	}
	c.dirty = c.dirty || c.contact.lost != before.lost
}

// Tick removes missing servers whose grace period has ended, and updates the instance count.
func (c *Core) Tick(now state.Instant) {
	c.expire(now)
	c.updateIssuer(now)
	c.judgeQuarantine(now)
}

// NextTick returns when Tick is due, and false when no deadline is pending. Nothing is removed while the store is unavailable, so
// that no removal is due then.
func (c *Core) NextTick() (state.Instant, bool) {
	var due state.Instant
	earlier := func(at state.Instant) {
		if due == 0 || at.Before(due) {
			due = at
		}
	}
	if c.contact.mayRemove() {
		for _, m := range c.servers {
			if m.missingSince != 0 {
				earlier(m.missingSince.Add(m.grace))
			}
		}
		for _, at := range c.retained {
			earlier(at)
		}
	}
	if at, ok := c.owners.Due(); ok {
		earlier(at)
	}
	if c.peakInstances > len(c.peers) {
		earlier(c.peakAt.Add(instanceRetention))
	}
	if at, ok := c.ledger.NextTick(); ok {
		earlier(at)
	}
	return due, due != 0
}

// advance records the revision of facts that apply on top of the revision after. It returns false when they are older than the
// known revision or leave a gap after it, because their values may then be out of date.
func (c *Core) advance(source Source, after, revision Revision) bool {
	if revision.Before(c.revision) || c.revision.Before(after) {
		c.log("store facts ignored: outdated or not contiguous", "source", source.String(), "after", after.String(), "revision", revision.String(),
			"known", c.revision.String())
		return false
	}
	c.revision, c.source = revision, source
	c.countProofs()
	return true
}

// applyChanges applies changes of single keys.
func (c *Core) applyChanges(now state.Instant, items []Item) {
	grace := c.gracePeriod(now, items)
	logNew := c.countNewServers(items) <= maxServerLogEntries
	for _, it := range items {
		c.dirty = true
		delete(c.retained, it.Key)
		switch f := it.Fact.(type) {
		case *routing.Table:
			c.tableKey = it.Key
			c.applyTable(f)
		case *routing.Backend:
			c.updateServer(now, it.Key, f, logNew)
		case Evacuation:
			c.evacuate(it.Key, f)
		case *routing.Peer:
			c.peers[it.Key] = f
			c.peersChanged++
		case FleetKey:
			c.fleetKey, c.fleetKeyKey = f, it.Key
		case nil:
			c.removeKey(now, it.Key, grace)
		}
	}
	c.updatePeakInstances(now)
}

// countNewServers counts the servers that are listed for the first time, and adds one log entry for all when there are more
// than maxServerLogEntries.
func (c *Core) countNewServers(items []Item) int {
	n := 0
	for _, it := range items {
		if _, ok := it.Fact.(*routing.Backend); ok && c.servers[it.Key] == nil {
			n++
		}
	}
	if n > maxServerLogEntries {
		c.log("backend servers listed", "servers", n)
	}
	return n
}

// gracePeriod returns how long servers that disappear in these changes stay in use. It is 0 unless so many disappear that
// their leases seem to have expired. If only a few disappear, they have left, and the other servers can take their load.
func (c *Core) gracePeriod(now state.Instant, items []Item) time.Duration {
	last := make(map[string]Fact, len(items)) // a server may leave and return in the same changes
	for _, it := range items {
		last[it.Key] = it.Fact
	}
	missing := 0
	for key, fact := range last {
		if m := c.servers[key]; m != nil && fact == nil && !m.Draining {
			missing++
		}
	}
	if missing < massExpiryMinCount || float64(missing) < massExpiryMinShare*float64(len(c.servers)) {
		return 0
	}
	return c.contact.massGrace(now)
}

// applyTable puts a table into force, unless the current one has the same or a newer version.
func (c *Core) applyTable(t *routing.Table) {
	if c.table != nil && t.Version <= c.table.Version {
		return
	}
	c.table = t
	c.log("routing table in force", "version", uint64(t.Version), "routes", len(t.Routes), "services", len(t.Services),
		"customers", len(t.Customers))
	if n := t.UnknownTypes(); n > 0 {
		c.log("routes of an unknown type; their requests run at most once", "version", uint64(t.Version), "routes", n)
	}
}

// updateServer applies a server's entry unless it is outdated. With logNew, a new server gets its own log entry.
func (c *Core) updateServer(now state.Instant, key string, b *routing.Backend, logNew bool) {
	if c.outdated(key, b) {
		c.logFact("outdated heartbeat ignored", "server", string(b.Name), "beat", b.Beat, "draining", b.Draining)
		return
	}
	if !c.takeAddress(now, key, b) {
		return
	}
	m := c.servers[key]
	if m == nil || m.Born != b.Born || m.Address != b.Address {
		if m != nil && m.Address != b.Address {
			c.releaseAddress(key, m)
		}
		if m != nil {
			c.serverEnded(now, &m.Backend, m.gauge)
		}
		m = &trackedServer{gauge: c.gaugeOf(key, b)}
		c.servers[key] = m
	}
	if m.Name == "" && logNew || m.Name != "" && m.Draining != b.Draining {
		c.logFact("backend server listed", "server", string(b.Name), "service", string(b.Service), "domain", string(b.Domain),
			"draining", b.Draining, "cold_ms", int64(b.ColdUntil)/int64(time.Millisecond))
	}
	m.Backend = *b
	m.missingSince = 0
	m.assumedColdUntil = 0
	if b.ColdUntil > 0 {
		m.ColdUntil = now.Add(time.Duration(b.ColdUntil))
	}
}

// endLimit ends the limit of a server's process, unless another process has taken its place.
func (c *Core) endLimit(ev LimitEnded) {
	m := c.findServer(ev.Server)
	if m != nil && m.Born == ev.Born && m.gauge.Limit.End() {
		c.dirty = true
	}
}

func (c *Core) evacuate(key string, e Evacuation) {
	if _, ok := c.evacuated[key]; !ok {
		c.log("failure domain evacuated", "domain", string(e.Domain))
	}
	c.evacuated[key] = e
}

func (c *Core) removeKey(now state.Instant, key string, grace time.Duration) {
	if m := c.servers[key]; m != nil {
		if grace > 0 && !m.Draining {
			if m.missingSince == 0 {
				m.missingSince, m.grace = now, grace
				c.logFact("backend server missing from the store; retained for a grace period", "server", string(m.Name), "ms", grace.Milliseconds())
			}
			return
		}
		c.removeServer(now, key, m)
	}
	if e, ok := c.evacuated[key]; ok {
		c.log("failure domain no longer evacuated", "domain", string(e.Domain))
		delete(c.evacuated, key)
		c.assumeDomainCold(now, e.Domain)
	}
	if c.fleetKey != nil && key == c.fleetKeyKey {
		c.log("fleet key withdrawn")
		c.fleetKey = nil
	}
	if c.peers[key] != nil {
		delete(c.peers, key)
		c.peersChanged++
	}
}

// assumeDomainCold treats the servers of a failure domain as cold until their next heartbeats, for at most AssumedColdTime.
func (c *Core) assumeDomainCold(now state.Instant, domain state.DomainName) {
	for _, m := range c.servers {
		if m.Domain == domain {
			m.assumedColdUntil = now.Add(AssumedColdTime)
		}
	}
}

// expire removes missing servers and retained keys whose grace period has ended, but none while the store is unavailable.
func (c *Core) expire(now state.Instant) {
	c.expireRetained(now)
	for key, m := range c.servers {
		if m.missingSince != 0 && !now.Before(m.missingSince.Add(m.grace)) && c.contact.mayRemove() {
			c.removeServer(now, key, m)
		}
	}
	c.updatePeakInstances(now)
}

// updatePeakInstances records the recent max number of live instances, so that shared limits also cover instances that have
// just left.
func (c *Core) updatePeakInstances(now state.Instant) {
	if n := len(c.peers); n >= c.peakInstances || !now.Before(c.peakAt.Add(instanceRetention)) {
		if n != c.peakInstances {
			c.dirty = true
		}
		c.peakInstances, c.peakAt = n, now
	}
}
