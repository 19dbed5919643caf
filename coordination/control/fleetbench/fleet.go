// Package fleetbench measures what control costs in a fleet of control.Core instances on a virtual clock. It delivers
// their messages after a fixed delay, answers their store operations, and counts. It is a measuring tool: its only
// faults are instances that end or restart and regions that are parted.
package fleetbench

import (
	"container/heap"
	"fmt"
	"time"

	"azurebridge/coordination/control"
	"azurebridge/coordination/homelease"
	"azurebridge/coordination/message"
	"azurebridge/coordination/rollout"
	"azurebridge/state"
)

// Times of the fleet that is measured.
const (
	RegionDelay = 17500 * time.Microsecond // one way, between regions
	DomainDelay = 750 * time.Microsecond   // one way, within a region
	StoreDelay  = 5 * time.Millisecond     // one operation
	ListLag     = 2 * time.Second          // of the platform's list
	listEvery   = time.Second              // between reads of the list
	boot        = state.Incarnation(1) << 50
)

// Options is the fleet to measure.
type Options struct {
	Instances int
	Regions   int
	Domains   int // of all regions
	Encode    func(*message.Envelope) ([]byte, error)
	Decode    func([]byte) (*message.Envelope, error)
}

// Member is one instance.
type Member struct {
	Self   state.Instance
	Down   bool
	Reader bool // watches the store
	Use    Use
	core   *control.Core
	due    state.Instant // next run of due work
	downAt state.Instant
}

// Home reports whether the instance is home of its region.
func (m *Member) Home() bool { return !m.Down && m.core.IsHome() }

// Use is what an instance used.
type Use struct {
	Sent, Received           int
	SentBytes, ReceivedBytes int           // frames with their length, without the overhead of UDP and QUIC
	Busy                     time.Duration // wall time of the core's calls and of encoding and decoding
	Store                    int           // store operations
	Events                   int           // wake-ups of the control goroutine
	Snapshots                int
}

// Fleet is a running fleet.
type Fleet struct {
	Now     state.Instant
	Members []*Member
	Kinds   map[string]Use // sent messages and bytes by type
	opts    Options
	byName  map[state.InstanceName]*Member
	queue   events
	seq     uint64
	parted  map[[2]state.RegionName]bool
	records map[string]*homelease.Record
	configs map[state.Revision]*state.Config
	inForce map[state.Revision]map[state.InstanceName]state.Instant
	restart state.Incarnation
}

// event is something due at an instant.
type event struct {
	at  state.Instant
	seq uint64
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// New starts a fleet whose instances know the platform's list.
func New(o Options) *Fleet {
	f := &Fleet{
		Kinds: make(map[string]Use), opts: o, byName: make(map[state.InstanceName]*Member),
		parted: make(map[[2]state.RegionName]bool), records: make(map[string]*homelease.Record),
		configs: make(map[state.Revision]*state.Config),
		inForce: make(map[state.Revision]map[state.InstanceName]state.Instant),
	}
	for i := range o.Instances {
		region := i % o.Regions
		perRegion := (o.Domains - region + o.Regions - 1) / o.Regions
		domain := i / o.Regions % max(1, perRegion)
		in := state.Instance{
			Name: state.InstanceName(fmt.Sprintf("entry-%04d", i)), Region: state.RegionName(fmt.Sprintf("region-%02d", region)),
			Domain: state.DomainName(fmt.Sprintf("domain-%02d-%d", region, domain)), Incarnation: boot, Status: state.InstanceLive,
			CallerAddress: fmt.Sprintf("10.%d.%d.1:8080", i>>8, i&255), FleetAddress: fmt.Sprintf("10.%d.%d.1:9000", i>>8, i&255),
		}
		m := &Member{Self: in}
		f.Members = append(f.Members, m)
		f.byName[in.Name] = m
	}
	for i, m := range f.Members {
		f.start(m, time.Duration(i)*listEvery/time.Duration(o.Instances))
	}
	return f
}

// start begins a process, which reads the platform's list with the given phase.
func (f *Fleet) start(m *Member, phase time.Duration) {
	m.core, m.Down, m.due = control.NewCore(m.Self), false, f.Now.Add(time.Hour)
	core := m.core
	f.step(m, control.Listed{Instances: f.list()})
	var list func()
	list = func() {
		if m.core == core && !m.Down {
			f.step(m, control.Listed{Instances: f.list()})
			f.after(listEvery, list)
		}
	}
	f.after(listEvery+phase, list)
}

// plan sets when due work runs, as control.Loop does.
func (f *Fleet) plan(m *Member, ticked bool) {
	next := f.Now.Add(m.core.NextTick(f.Now))
	if !ticked && !next.Before(m.due) {
		return
	}
	m.due = next
	core := m.core
	f.after(next.Sub(f.Now), func() {
		if m.core != core || m.Down || m.due != f.Now {
			return
		}
		m.Use.Events++
		f.busy(m, func() { m.core.Tick(f.Now) })
		f.take(m)
		f.plan(m, true)
	})
}

// list is the platform's list, which lags.
func (f *Fleet) list() []state.Instance {
	out := make([]state.Instance, 0, len(f.Members))
	for _, m := range f.Members {
		if !m.Down || f.Now.Sub(m.downAt) < ListLag {
			in := m.Self
			in.Incarnation = 0 // the platform does not know it
			out = append(out, in)
		}
	}
	return out
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.Now.Add(d), f.seq, run})
}

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.run()
	}
	f.Now = end
}

func (f *Fleet) busy(m *Member, run func()) {
	t := time.Now()
	run()
	m.Use.Busy += time.Since(t)
}

func (f *Fleet) step(m *Member, ev control.Event) {
	m.Use.Events++
	f.busy(m, func() { m.core.Step(f.Now, ev) })
	f.take(m)
	f.plan(m, false)
}

// take carries out the work that a core wants done.
func (f *Fleet) take(m *Member) {
	var r control.Ready
	f.busy(m, func() { r = m.core.Ready(f.Now) })
	if r.Snapshot != nil {
		m.Use.Snapshots++
	}
	m.Reader = r.Config.Watch
	for _, e := range r.Messages {
		f.send(m, e)
	}
	for _, op := range r.Store {
		m.Use.Store++
		f.after(StoreDelay, func() { f.store(m, op) })
	}
	m.Use.Store += len(r.Claims)
	for _, it := range r.Config.Open {
		f.after(0, func() { f.configure(m, it, false) })
	}
}

func (f *Fleet) send(m *Member, e *message.Envelope) {
	var data []byte
	f.busy(m, func() { data, _ = f.opts.Encode(e) })
	const lengthPrefix = 4
	n := len(data) + lengthPrefix
	m.Use.Sent++
	m.Use.SentBytes += n
	k := f.Kinds[fmt.Sprintf("%T", e.Body)]
	k.Sent, k.SentBytes = k.Sent+1, k.SentBytes+n
	f.Kinds[fmt.Sprintf("%T", e.Body)] = k
	to := f.byName[e.To]
	if to == nil || f.parted[[2]state.RegionName{m.Self.Region, to.Self.Region}] {
		return
	}
	delay := DomainDelay
	if to.Self.Region != m.Self.Region {
		delay = RegionDelay
	}
	f.after(delay, func() {
		if to.Down {
			return
		}
		to.Use.Received++
		to.Use.ReceivedBytes += n
		var got *message.Envelope
		f.busy(to, func() { got, _ = f.opts.Decode(data) })
		if got != nil {
			f.step(to, control.Received{Envelope: got})
		}
	})
}

// store carries out an operation on the record of a region's witnesses.
func (f *Fleet) store(m *Member, op control.StoreOp) {
	if m.Down {
		return
	}
	got := control.Stored{Op: op, Record: f.records[op.Key]}
	if got.Record != nil {
		got.Version = got.Record.Number
	}
	if op.Kind == control.StoreCAS && op.Version == got.Version {
		got.Version++
		got.Record = &homelease.Record{Region: op.Record.Region, Number: got.Version, Witnesses: op.Record.Witnesses}
		f.records[op.Key] = got.Record
	}
	f.step(m, got)
}

func (f *Fleet) configure(m *Member, it rollout.Item, accepted bool) {
	if m.Down {
		return
	}
	f.step(m, control.Configured{Config: f.configs[it.Revision], Item: it, Accepted: accepted})
	if at := f.inForce[it.Revision]; at != nil {
		if _, known := at[m.Self.Name]; !known {
			at[m.Self.Name] = f.Now
		}
	}
}
