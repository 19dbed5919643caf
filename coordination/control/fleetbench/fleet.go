// Package fleetbench measures the resource use of control.Core in a fleet of instances on a virtual clock. It delivers their
// messages after a fixed delay, answers their store operations, and counts what each instance uses. It is a measuring tool:
// the only faults that it injects are instances that end or restart and partitions between regions.
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

// Delays and intervals of the simulated fleet.
const (
	RegionDelay      = 17500 * time.Microsecond // one way, between regions
	DomainDelay      = 750 * time.Microsecond   // one way, within a region
	StoreDelay       = 5 * time.Millisecond     // one operation
	ListLag          = 2 * time.Second          // after which the platform's list leaves out an instance that ended
	listInterval     = time.Second              // between reads of the list
	firstIncarnation = state.Incarnation(1) << 50
)

// Options describes the fleet to measure.
type Options struct {
	Instances int
	Regions   int
	Domains   int // total over all regions
	Encode    func(*message.Envelope) ([]byte, error)
	Decode    func([]byte) (*message.Envelope, error)
}

// Member is one instance.
type Member struct {
	Self   state.Instance
	Down   bool
	Reader bool // watches the store
	Usage  Usage
	core   *control.Core
	due    state.Instant // next tick
	downAt state.Instant
}

// Home reports whether the instance is home of its region.
func (m *Member) Home() bool { return !m.Down && m.core.IsHome() }

// Usage counts the resources that an instance used.
type Usage struct {
	Sent, Received           int
	SentBytes, ReceivedBytes int           // frames with their length, without the overhead of UDP and QUIC
	Busy                     time.Duration // wall time of the core's calls and of encoding and decoding
	Store                    int           // store operations
	Events                   int           // wake-ups of the control goroutine
	Snapshots                int
}

// Fleet is a running simulated fleet.
type Fleet struct {
	Now         state.Instant
	Members     []*Member
	ByType      map[string]Usage // sent messages and bytes by type
	opts        Options
	byName      map[state.InstanceName]*Member
	queue       eventQueue
	seq         uint64
	partitioned map[[2]state.RegionName]bool
	records     map[string]*homelease.Record
	configs     map[state.Revision]*state.Config
	inForce     map[state.Revision]map[state.InstanceName]state.Instant
	restarts    state.Incarnation
}

// event is a function that runs at an instant; seq orders events of the same instant.
type event struct {
	at  state.Instant
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// New starts a fleet whose instances know the platform's list.
func New(o Options) *Fleet {
	f := &Fleet{
		ByType: make(map[string]Usage), opts: o, byName: make(map[state.InstanceName]*Member),
		partitioned: make(map[[2]state.RegionName]bool), records: make(map[string]*homelease.Record),
		configs: make(map[state.Revision]*state.Config),
		inForce: make(map[state.Revision]map[state.InstanceName]state.Instant),
	}
	for i := range o.Instances {
		region := i % o.Regions
		perRegion := (o.Domains - region + o.Regions - 1) / o.Regions
		domain := i / o.Regions % max(1, perRegion)
		in := state.Instance{
			Name: state.InstanceName(fmt.Sprintf("entry-%04d", i)), Region: state.RegionName(fmt.Sprintf("region-%02d", region)),
			Domain: state.DomainName(fmt.Sprintf("domain-%02d-%d", region, domain)), Incarnation: firstIncarnation, Status: state.InstanceLive,
			CallerAddress: fmt.Sprintf("10.%d.%d.1:8080", i>>8, i&255), FleetAddress: fmt.Sprintf("10.%d.%d.1:9000", i>>8, i&255),
		}
		m := &Member{Self: in}
		f.Members = append(f.Members, m)
		f.byName[in.Name] = m
	}
	for i, m := range f.Members {
		f.start(m, time.Duration(i)*listInterval/time.Duration(o.Instances))
	}
	return f
}

// start starts the process of a member. It reads the platform's list at once, after listInterval and phase, and then every
// listInterval.
func (f *Fleet) start(m *Member, phase time.Duration) {
	m.core, m.Down, m.due = control.NewCore(m.Self), false, f.Now.Add(time.Hour)
	core := m.core
	f.step(m, control.Listed{Instances: f.platformList()})
	var readList func()
	readList = func() {
		if m.core == core && !m.Down {
			f.step(m, control.Listed{Instances: f.platformList()})
			f.after(listInterval, readList)
		}
	}
	f.after(listInterval+phase, readList)
}

// scheduleTick schedules the next tick as control.Loop does.
func (f *Fleet) scheduleTick(m *Member, ticked bool) {
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
		m.Usage.Events++
		f.measureBusy(m, func() { m.core.Tick(f.Now) })
		f.processReady(m)
		f.scheduleTick(m, true)
	})
}

// platformList returns the platform's list, which contains an ended instance until ListLag has passed.
func (f *Fleet) platformList() []state.Instance {
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

// Run advances the virtual clock by d and runs the events that are due.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.run()
	}
	f.Now = end
}

func (f *Fleet) measureBusy(m *Member, run func()) {
	t := time.Now()
	run()
	m.Usage.Busy += time.Since(t)
}

func (f *Fleet) step(m *Member, ev control.Event) {
	m.Usage.Events++
	f.measureBusy(m, func() { m.core.Step(f.Now, ev) })
	f.processReady(m)
	f.scheduleTick(m, false)
}

// processReady carries out the core's pending work.
func (f *Fleet) processReady(m *Member) {
	var r control.Ready
	f.measureBusy(m, func() { r = m.core.Ready(f.Now) })
	if r.Snapshot != nil {
		m.Usage.Snapshots++
	}
	m.Reader = r.Config.Watch
	for _, e := range r.Messages {
		f.send(m, e)
	}
	for _, op := range r.Store {
		m.Usage.Store++
		f.after(StoreDelay, func() { f.store(m, op) })
	}
	m.Usage.Store += len(r.Claims)
	for _, it := range r.Config.Decode {
		f.after(0, func() { f.deliverConfig(m, it, false) })
	}
}

func (f *Fleet) send(m *Member, e *message.Envelope) {
	var data []byte
	f.measureBusy(m, func() { data, _ = f.opts.Encode(e) })
	const lengthPrefix = 4
	n := len(data) + lengthPrefix
	m.Usage.Sent++
	m.Usage.SentBytes += n
	k := f.ByType[fmt.Sprintf("%T", e.Body)]
	k.Sent, k.SentBytes = k.Sent+1, k.SentBytes+n
	f.ByType[fmt.Sprintf("%T", e.Body)] = k
	to := f.byName[e.To]
	if to == nil || f.partitioned[[2]state.RegionName{m.Self.Region, to.Self.Region}] {
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
		to.Usage.Received++
		to.Usage.ReceivedBytes += n
		var got *message.Envelope
		f.measureBusy(to, func() { got, _ = f.opts.Decode(data) })
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
	result := control.Stored{Op: op, Record: f.records[op.Key]}
	if result.Record != nil {
		result.Version = result.Record.Number
	}
	if op.Kind == control.StoreCAS && op.Version == result.Version {
		result.Version++
		result.Record = &homelease.Record{Region: op.Record.Region, Number: result.Version, Witnesses: op.Record.Witnesses}
		f.records[op.Key] = result.Record
	}
	f.step(m, result)
}

func (f *Fleet) deliverConfig(m *Member, it rollout.Item, accepted bool) {
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
