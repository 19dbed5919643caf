// Package membership keeps the table of entry instances: what the platform's list says, which lags, and what direct
// evidence and the homes of regions say. Table is a core without I/O; the time is passed in.
//
// The home of a region judges the members of its region by direct evidence and tells the other homes and its members of
// changes. Other instances take over what their home says, so that no instance needs to hear all others.
package membership

import (
	"sort"
	"time"

	"azurebridge/state"
)

// Time bounds of evidence.
const (
	SuspectAfter = 1500 * time.Millisecond // of silence; members send a heartbeat each second
	DeadAfter    = 5 * time.Second         // of silence
	ForgetAfter  = 30 * time.Second        // neither listed nor heard of
	GoneAfter    = 10 * time.Second        // not listed; the list may lag by a few seconds
	PartedAfter  = 1750 * time.Millisecond // without a message from any home of a region, before its instances are suspect
)

// MaxInstances bounds the table.
const MaxInstances = 8192

// Evidence says where the status of an instance comes from.
type Evidence string

// The kinds of evidence.
const (
	EvidenceSelf      Evidence = "self"
	EvidenceList      Evidence = "list"      // the platform's list
	EvidenceAnnounced Evidence = "announced" // the instance itself announced its planned stop
	EvidenceHeard     Evidence = "heard"     // messages of the instance, or their absence
	EvidenceHome      Evidence = "home"      // the home of its region, or this instance's home
	EvidenceParted    Evidence = "parted"    // no home of its region is heard
)

// entry is what is known of one instance.
type entry struct {
	instance   state.Instance // Status is the status in force
	listed     state.InstanceStatus
	unlistedAt state.Instant
	heardAt    state.Instant // last message of the instance itself
	heard      bool
	leaving    bool // announced by the instance
	told       state.InstanceStatus
	toldAt     state.Instant
	evidence   Evidence
	since      state.Instant // of the status
	version    uint64        // of the table at the last change of status
}

// Stats counts what the table did.
type Stats struct {
	Changes   uint64 // of a status
	Forgotten uint64
	Overflow  uint64 // instances not kept because the table was full
	OldEvents uint64 // news of an earlier incarnation
}

// Table is the table of one instance. It belongs to the control goroutine.
type Table struct {
	self     state.Instance
	entries  map[state.InstanceName]*entry
	regions  map[state.RegionName]state.Instant // when a home of another region was last heard
	version  uint64
	judge    bool // this instance is home: it judges its region by direct evidence
	complete bool
	changed  bool     // sorted must be made again
	news     bool     // sorted was made again since TakeNews
	order    []*entry // by name; nil after an instance was added or removed
	sorted   []state.Instance
	Stats    Stats
}

// New returns a table that knows only the instance itself.
func New(now state.Instant, self state.Instance) *Table {
	t := &Table{self: self, entries: make(map[state.InstanceName]*entry), regions: make(map[state.RegionName]state.Instant), changed: true}
	t.entries[self.Name] = &entry{instance: self, heard: true, heardAt: now, since: now, evidence: EvidenceSelf}
	return t
}

// List takes over the platform's list.
func (t *Table) List(now state.Instant, list []state.Instance) {
	t.complete = t.complete || len(list) > 0
	listed := make(map[state.InstanceName]bool, len(list))
	for _, in := range list {
		listed[in.Name] = true
		e := t.entry(now, in)
		if e == nil || in.Name == t.self.Name {
			continue
		}
		e.listed = in.Status
		t.address(e, in)
	}
	for name, e := range t.entries {
		if !listed[name] && e.listed != "" {
			e.listed, e.unlistedAt = "", now
		}
	}
	t.Tick(now)
}

// entry returns the entry of an instance, which it adds unless the table is full.
func (t *Table) entry(now state.Instant, in state.Instance) *entry {
	e := t.entries[in.Name]
	if e == nil {
		if len(t.entries) >= MaxInstances {
			t.Stats.Overflow++
			return nil
		}
		// Silence counts from now on. Other instances learn of it from the list, too.
		e = &entry{instance: in, heardAt: now, since: now, unlistedAt: now, evidence: EvidenceList}
		t.entries[in.Name] = e
		t.changed, t.order = true, nil
		if _, ok := t.regions[in.Region]; !ok {
			t.regions[in.Region] = now // the silence of its home counts from now on
		}
	}
	return e
}

// address takes over a changed place or address.
func (t *Table) address(e *entry, in state.Instance) {
	b := e.instance
	b.Region, b.Domain, b.CallerAddress, b.FleetAddress = in.Region, in.Domain, in.CallerAddress, in.FleetAddress
	if in.OperatorsAddress != "" { // the platform's list does not have it
		b.OperatorsAddress = in.OperatorsAddress
	}
	if b != e.instance {
		e.instance, t.changed = b, true
	}
}

// Heard notes a message of the instance itself.
func (t *Table) Heard(now state.Instant, name state.InstanceName, inc state.Incarnation) {
	e := t.entries[name]
	if e == nil || name == t.self.Name || !t.current(e, inc) {
		return
	}
	e.heardAt, e.heard = now, true
	if e.told == state.InstanceSuspect || e.told == state.InstanceDead {
		e.told = state.InstanceLive
	}
	t.judgeEntry(now, e)
}

// current reports whether news of the incarnation counts, and starts anew for a later process.
func (t *Table) current(e *entry, inc state.Incarnation) bool {
	switch {
	case inc == 0: // known from the list only
	case inc < e.instance.Incarnation:
		t.Stats.OldEvents++
		return false
	case inc > e.instance.Incarnation:
		e.instance.Incarnation, e.leaving, e.told = inc, false, ""
		t.changed = true
	}
	return true
}

// Announced handles the heartbeat of an instance about itself.
func (t *Table) Announced(now state.Instant, in state.Instance) {
	e := t.entry(now, in)
	if e == nil || in.Name == t.self.Name || !t.current(e, in.Incarnation) {
		return
	}
	t.address(e, in)
	// A process that is stopping does not return to live, so that a delayed heartbeat changes nothing.
	e.leaving = e.leaving || in.Status == state.InstanceLeaving
	t.Heard(now, in.Name, in.Incarnation)
}

// Told takes over what a home says about instances. From this instance's own home it may say anything about other
// instances; from the home of another region it counts for that region only.
func (t *Table) Told(now state.Instant, from state.RegionName, list []state.Instance) {
	for _, in := range list {
		if in.Name == t.self.Name || t.judge && (in.Region != from || in.Region == t.self.Region) {
			continue
		}
		e := t.entry(now, in)
		if e == nil || !t.current(e, in.Incarnation) {
			continue
		}
		e.told, e.toldAt = in.Status, now
		t.judgeEntry(now, e)
	}
}

// RegionHeard notes a message of the home of another region.
func (t *Table) RegionHeard(now state.Instant, region state.RegionName) { t.regions[region] = now }

// Judge tells whether this instance is home of its region. A new home gives members that it has not heard of the full
// time, but not the previous home, whose silence is known.
func (t *Table) Judge(now state.Instant, judge bool, previous state.InstanceName) {
	if judge && !t.judge {
		for name, e := range t.entries {
			e.told = ""
			if name != previous && now.Sub(e.heardAt) >= SuspectAfter {
				e.heardAt = now
			}
		}
		for r := range t.regions {
			t.regions[r] = now
		}
	}
	t.judge = judge
	t.Tick(now)
}

// Leave marks the instance itself as leaving.
func (t *Table) Leave(now state.Instant) {
	t.self.Status = state.InstanceLeaving
	t.judgeEntry(now, t.entries[t.self.Name])
}

// Tick applies the time bounds.
func (t *Table) Tick(now state.Instant) {
	for name, e := range t.entries {
		t.judgeEntry(now, e)
		if e.listed == "" && name != t.self.Name && now.Sub(e.unlistedAt) >= ForgetAfter &&
			now.Sub(max(e.heardAt, e.toldAt)) >= ForgetAfter {
			delete(t.entries, name)
			t.Stats.Forgotten++
			t.changed, t.order = true, nil
		}
	}
}

// judgeEntry sets the status in force.
func (t *Table) judgeEntry(now state.Instant, e *entry) {
	status, evidence := t.status(now, e)
	e.evidence = evidence
	if status == e.instance.Status {
		return
	}
	t.version++
	e.instance.Status, e.since, e.version = status, now, t.version
	t.changed = true
	t.Stats.Changes++
}

func (t *Table) status(now state.Instant, e *entry) (state.InstanceStatus, Evidence) {
	in := &e.instance
	if in.Name == t.self.Name {
		return t.self.Status, EvidenceSelf
	}
	if t.judge && in.Region == t.self.Region {
		if s := silence(now.Sub(e.heardAt)); s != "" {
			return s, EvidenceHeard
		}
	} else if t.judge {
		if s := silence(now.Sub(t.regions[in.Region]) - PartedAfter + SuspectAfter); s != "" {
			return s, EvidenceParted
		}
	}
	switch {
	case e.told == state.InstanceSuspect || e.told == state.InstanceDead:
		return e.told, EvidenceHome
	case e.leaving:
		return state.InstanceLeaving, EvidenceAnnounced
	case e.told == state.InstanceLeaving:
		return e.told, EvidenceHome
	case e.listed == state.InstanceLeaving:
		return e.listed, EvidenceList
	case e.told != "":
		return e.told, EvidenceHome
	case e.heard:
		return state.InstanceLive, EvidenceHeard
	}
	return state.InstanceLive, EvidenceList
}

func silence(d time.Duration) state.InstanceStatus {
	switch {
	case d >= DeadAfter:
		return state.InstanceDead
	case d >= SuspectAfter:
		return state.InstanceSuspect
	}
	return ""
}

// Instances returns all instances ordered by name. The slice is not changed later.
func (t *Table) Instances() []state.Instance {
	if t.sorted == nil || t.changed {
		t.news = true
		t.sorted = make([]state.Instance, 0, len(t.entries))
		for _, e := range t.byName() {
			t.sorted = append(t.sorted, e.instance)
		}
		t.changed = false
	}
	return t.sorted
}

// byName returns all entries in the order of their names.
func (t *Table) byName() []*entry {
	if t.order == nil {
		t.order = make([]*entry, 0, len(t.entries))
		for _, e := range t.entries {
			t.order = append(t.order, e)
		}
		sort.Slice(t.order, func(i, j int) bool { return t.order[i].instance.Name < t.order[j].instance.Name })
	}
	return t.order
}

// TakeNews reports whether Instances has changed since the last call.
func (t *Table) TakeNews() bool {
	news := t.news || t.changed
	t.news = false
	return news
}

// Complete reports whether the platform's list has been read.
func (t *Table) Complete() bool { return t.complete }

// Gone reports whether the platform has not listed the instance for GoneAfter and nothing else tells that it lives.
func (t *Table) Gone(now state.Instant, name state.InstanceName) bool {
	e := t.entries[name]
	if e == nil {
		return t.complete // forgotten after an even longer time
	}
	return name != t.self.Name && e.listed == "" && now.Sub(e.unlistedAt) >= GoneAfter && now.Sub(e.heardAt) >= GoneAfter
}
