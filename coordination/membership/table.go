// Package membership maintains the table of entry instances and their statuses. It combines the platform's list, which lags,
// with direct evidence and the reports of regions' homes. Table does no I/O; the time is passed in.
//
// The home of a region, the instance that allocates its slots, evaluates the members of its region by direct evidence and
// reports changes to the other homes and to its members. Other instances adopt the reports of their home, so that no instance
// needs to receive messages from all others.
package membership

import (
	"sort"
	"time"

	"azurebridge/state"
)

// Time bounds of evidence.
const (
	SuspectAfter   = 1500 * time.Millisecond // without a message; members send a heartbeat each second
	DeadAfter      = 5 * time.Second         // without a message
	RemoveAfter    = 30 * time.Second        // neither listed, nor any message from it or report about it
	AbsentAfter    = 10 * time.Second        // not listed; the list may lag by a few seconds
	PartitionAfter = 1750 * time.Millisecond // without a message from the home of another region; its instances are then suspect
)

// MaxInstances bounds the table.
const MaxInstances = 8192

// Evidence is the source of an instance's status.
type Evidence string

const (
	EvidenceSelf      Evidence = "self"
	EvidenceList      Evidence = "list"      // the platform's list
	EvidenceAnnounced Evidence = "announced" // the instance itself announced its planned stop
	EvidenceDirect    Evidence = "heard"     // messages from the instance, or their absence
	EvidenceHome      Evidence = "home"      // a report of the home of its region, or of this instance's home
	EvidencePartition Evidence = "parted"    // no messages from the home of its region
)

// entry holds what is known about one instance.
type entry struct {
	instance    state.Instance // Status is the status in force
	listed      state.InstanceStatus
	unlistedAt  state.Instant
	messageAt   state.Instant        // last message from the instance, or start of the wait for one
	received    bool                 // a message from the instance was received
	leaving     bool                 // the instance announced its planned stop
	reported    state.InstanceStatus // last status that a home reported; "" if none
	reportedAt  state.Instant
	evidence    Evidence
	statusSince state.Instant
	version     uint64 // version of the table at the last change of status
}

// Stats counts events of the table.
type Stats struct {
	Changes   uint64 // changes of a status
	Forgotten uint64 // instances removed after RemoveAfter
	Overflow  uint64 // instances not added because the table was full
	OldEvents uint64 // messages or reports about an earlier incarnation, ignored
}

// Table is one instance's table of all instances. Only the control goroutine uses it.
type Table struct {
	self             state.Instance
	entries          map[state.InstanceName]*entry
	regions          map[state.RegionName]state.Instant // last message from the home of each region, or start of the wait for one
	version          uint64
	isHome           bool     // this instance is home: it evaluates its region by direct evidence
	complete         bool     // the platform's list has been read
	sortedOutdated   bool     // sorted must be rebuilt
	changedSinceTake bool     // sorted was rebuilt since the last TakeChanged
	order            []*entry // by name; nil after an instance was added or removed
	sorted           []state.Instance
	Stats            Stats
}

// New returns a table that holds only the instance itself.
func New(now state.Instant, self state.Instance) *Table {
	t := &Table{self: self, entries: make(map[state.InstanceName]*entry), regions: make(map[state.RegionName]state.Instant), sortedOutdated: true}
	t.entries[self.Name] = &entry{instance: self, received: true, messageAt: now, statusSince: now, evidence: EvidenceSelf}
	return t
}

// List applies the platform's list.
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
		t.updateAddress(e, in)
	}
	for name, e := range t.entries {
		if !listed[name] && e.listed != "" {
			e.listed, e.unlistedAt = "", now
		}
	}
	t.Tick(now)
}

// entry returns the entry of an instance, which it adds if necessary. It returns nil when the table is full.
func (t *Table) entry(now state.Instant, in state.Instance) *entry {
	e := t.entries[in.Name]
	if e == nil {
		if len(t.entries) >= MaxInstances {
			t.Stats.Overflow++
			return nil
		}
		// The time without messages counts from now on. Other instances also learn about the new one from the list.
		e = &entry{instance: in, messageAt: now, statusSince: now, unlistedAt: now, evidence: EvidenceList}
		t.entries[in.Name] = e
		t.sortedOutdated, t.order = true, nil
		if _, ok := t.regions[in.Region]; !ok {
			t.regions[in.Region] = now // the time without messages from its home counts from now on
		}
	}
	return e
}

// updateAddress applies a changed region, failure domain or address.
func (t *Table) updateAddress(e *entry, in state.Instance) {
	updated := e.instance
	updated.Region, updated.Domain, updated.CallerAddress, updated.FleetAddress = in.Region, in.Domain, in.CallerAddress, in.FleetAddress
	if in.OperatorsAddress != "" { // the platform's list does not have it
		updated.OperatorsAddress = in.OperatorsAddress
	}
	if updated != e.instance {
		e.instance, t.sortedOutdated = updated, true
	}
}

// RecordMessage records a message from the instance itself. It overrides a home's report that the instance is suspect or dead.
func (t *Table) RecordMessage(now state.Instant, name state.InstanceName, inc state.Incarnation) {
	e := t.entries[name]
	if e == nil || name == t.self.Name || !t.acceptIncarnation(e, inc) {
		return
	}
	e.messageAt, e.received = now, true
	if e.reported == state.InstanceSuspect || e.reported == state.InstanceDead {
		e.reported = state.InstanceLive
	}
	t.evaluate(now, e)
}

// acceptIncarnation returns false for an earlier incarnation than the known one. For a later one it resets what was reported
// about the previous process.
func (t *Table) acceptIncarnation(e *entry, inc state.Incarnation) bool {
	switch {
	case inc == 0: // not known: the instance is known from the list only
	case inc < e.instance.Incarnation:
		t.Stats.OldEvents++
		return false
	case inc > e.instance.Incarnation:
		e.instance.Incarnation, e.leaving, e.reported = inc, false, ""
		t.sortedOutdated = true
	}
	return true
}

// ApplyHeartbeat handles the heartbeat of an instance about itself.
func (t *Table) ApplyHeartbeat(now state.Instant, in state.Instance) {
	e := t.entry(now, in)
	if e == nil || in.Name == t.self.Name || !t.acceptIncarnation(e, in.Incarnation) {
		return
	}
	t.updateAddress(e, in)
	// A stopping process does not become live again, so a delayed heartbeat must not reset leaving.
	e.leaving = e.leaving || in.Status == state.InstanceLeaving
	t.RecordMessage(now, in.Name, in.Incarnation)
}

// ApplyHomeReport applies a home's report about instances. from is the home's region. If this instance is itself a home, it
// accepts reports only from the homes of other regions, about their own region; otherwise it accepts them about all other
// instances, and must be called only with reports of its own region's home.
func (t *Table) ApplyHomeReport(now state.Instant, from state.RegionName, list []state.Instance) {
	for _, in := range list {
		if in.Name == t.self.Name || t.isHome && (in.Region != from || in.Region == t.self.Region) {
			continue
		}
		e := t.entry(now, in)
		if e == nil || !t.acceptIncarnation(e, in.Incarnation) {
			continue
		}
		e.reported, e.reportedAt = in.Status, now
		t.evaluate(now, e)
	}
}

// RecordHomeMessage records a message from the home of another region.
func (t *Table) RecordHomeMessage(now state.Instant, region state.RegionName) {
	t.regions[region] = now
}

// SetHome sets whether this instance is home of its region. A new home waits the full SuspectAfter for members without recent
// messages, but not for the previous home, which is already known to be unresponsive.
func (t *Table) SetHome(now state.Instant, isHome bool, previous state.InstanceName) {
	if isHome && !t.isHome {
		for name, e := range t.entries {
			e.reported = ""
			if name != previous && now.Sub(e.messageAt) >= SuspectAfter {
				e.messageAt = now
			}
		}
		for r := range t.regions {
			t.regions[r] = now
		}
	}
	t.isHome = isHome
	t.Tick(now)
}

// Leave marks the instance itself as leaving.
func (t *Table) Leave(now state.Instant) {
	t.self.Status = state.InstanceLeaving
	t.evaluate(now, t.entries[t.self.Name])
}

// Tick evaluates all instances again, and removes those that were unlisted and without messages or reports for RemoveAfter.
func (t *Table) Tick(now state.Instant) {
	for name, e := range t.entries {
		t.evaluate(now, e)
		if e.listed == "" && name != t.self.Name && now.Sub(e.unlistedAt) >= RemoveAfter &&
			now.Sub(max(e.messageAt, e.reportedAt)) >= RemoveAfter {
			delete(t.entries, name)
			t.Stats.Forgotten++
			t.sortedOutdated, t.order = true, nil
		}
	}
}

// evaluate sets an entry's status in force, and increases the version if it changes.
func (t *Table) evaluate(now state.Instant, e *entry) {
	status, evidence := t.status(now, e)
	e.evidence = evidence
	if status == e.instance.Status {
		return
	}
	t.version++
	e.instance.Status, e.statusSince, e.version = status, now, t.version
	t.sortedOutdated = true
	t.Stats.Changes++
}

func (t *Table) status(now state.Instant, e *entry) (state.InstanceStatus, Evidence) {
	in := &e.instance
	if in.Name == t.self.Name {
		return t.self.Status, EvidenceSelf
	}
	if t.isHome && in.Region == t.self.Region {
		if s := statusWithoutMessages(now.Sub(e.messageAt)); s != "" {
			return s, EvidenceDirect
		}
	} else if t.isHome {
		if s := statusWithoutMessages(now.Sub(t.regions[in.Region]) - PartitionAfter + SuspectAfter); s != "" {
			return s, EvidencePartition
		}
	}
	switch {
	case e.reported == state.InstanceSuspect || e.reported == state.InstanceDead:
		return e.reported, EvidenceHome
	case e.leaving:
		return state.InstanceLeaving, EvidenceAnnounced
	case e.reported == state.InstanceLeaving:
		return e.reported, EvidenceHome
	case e.listed == state.InstanceLeaving:
		return e.listed, EvidenceList
	case e.reported != "":
		return e.reported, EvidenceHome
	case e.received:
		return state.InstanceLive, EvidenceDirect
	}
	return state.InstanceLive, EvidenceList
}

func statusWithoutMessages(d time.Duration) state.InstanceStatus {
	switch {
	case d >= DeadAfter:
		return state.InstanceDead
	case d >= SuspectAfter:
		return state.InstanceSuspect
	}
	return ""
}

// Instances returns all instances ordered by name. The returned slice is never modified.
func (t *Table) Instances() []state.Instance {
	if t.sorted == nil || t.sortedOutdated {
		t.changedSinceTake = true
		t.sorted = make([]state.Instance, 0, len(t.entries))
		for _, e := range t.byName() {
			t.sorted = append(t.sorted, e.instance)
		}
		t.sortedOutdated = false
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

// TakeChanged reports whether the result of Instances has changed since the last call.
func (t *Table) TakeChanged() bool {
	changed := t.changedSinceTake || t.sortedOutdated
	t.changedSinceTake = false
	return changed
}

// Complete reports whether the platform's list has been read.
func (t *Table) Complete() bool { return t.complete }

// Absent reports whether, for AbsentAfter, the platform has not listed the instance and no message from it was received.
func (t *Table) Absent(now state.Instant, name state.InstanceName) bool {
	e := t.entries[name]
	if e == nil {
		return t.complete // removed after an even longer time, RemoveAfter
	}
	return name != t.self.Name && e.listed == "" && now.Sub(e.unlistedAt) >= AbsentAfter && now.Sub(e.messageAt) >= AbsentAfter
}
