package homelease

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Time bounds of store operations.
const (
	ReadInterval = time.Second            // between reads of one record
	maxReadRank  = 31                     // rank from which on candidates read equally seldom
	staleRead    = 200 * time.Millisecond // between reads while a newer record is known to exist
	opTimeout    = 5 * time.Second        // after which an operation without a result counts as lost
)

// Op is a store operation on a record. A write replaces the record whose number is Record.Number; 0 creates it.
type Op struct {
	Region state.RegionName
	Write  bool
	Record Record
}

// View is what an election needs to know of the instances.
type View struct {
	Instances []state.Instance              // with their current status
	Complete  bool                          // the platform's list has been read
	Gone      func(state.InstanceName) bool // not listed by the platform for long
}

// flight is the last store operation on one record.
type flight struct {
	at      state.Instant
	started bool
	pending bool
}

// Election runs the witness and the candidate of one instance, and reads and writes the records that they need. It
// belongs to the control goroutine.
type Election struct {
	Witness   *Witness
	Candidate *Candidate
	self      state.Instance
	absent    bool // the store has no record of the region
	flights   map[state.RegionName]*flight
	ops       []Op
	replies   []Outbound
}

// NewElection returns the election state of a process that has just started.
func NewElection(now state.Instant, self state.Instance) *Election {
	floor := EpochFloor(self.Incarnation)
	return &Election{
		Witness: NewWitness(now, floor), Candidate: NewCandidate(now, &self, floor), self: self,
		flights: make(map[state.RegionName]*flight),
	}
}

// Receive handles a message of an election. It returns false for other messages.
func (e *Election) Receive(now state.Instant, from state.InstanceName, inc state.Incarnation, b message.Body) bool {
	switch m := b.(type) {
	case *message.VoteRequest:
		if r := e.Witness.Request(now, from, inc, m); r != nil {
			e.replies = append(e.replies, Outbound{from, r})
		}
	case *message.VoteReply:
		e.Candidate.Reply(now, from, m)
	case *message.Resign:
		e.Witness.Resigned(from, inc, m)
		e.Candidate.Resigned(m)
	default:
		return false
	}
	return true
}

// Tick runs what is due.
func (e *Election) Tick(now state.Instant, v *View, leaving bool) {
	rank := e.rank(now, v.Instances)
	e.Candidate.Tick(now, rank, !leaving)
	e.change(now, rank, v) // first, since a region without a home is read again and again
	e.read(now, rank)
}

// rank counts the live candidates of the region before this instance.
func (e *Election) rank(now state.Instant, instances []state.Instance) int {
	silent := e.Candidate.SilentHome(now)
	own := score(e.self.Region, e.self.Name)
	n := 0
	for i := range instances {
		in := &instances[i]
		if in.Region == e.self.Region && in.Status == state.InstanceLive && in.Name != silent && score(in.Region, in.Name) > own {
			n++
		}
	}
	return n
}

// read reads the records that this instance must know: of its region, and of each region that asked it for a promise.
func (e *Election) read(now state.Instant, rank int) {
	own := e.self.Region
	_, stale := e.Candidate.Record()
	switch {
	case stale:
		e.issue(now, staleRead, Op{Region: own})
	case e.Witness.NeedsRecord(own):
		e.issue(now, ReadInterval, Op{Region: own})
	case e.Candidate.HomelessFor(now) >= ReadInterval:
		// Later candidates read less often, so that the reads of a region without home grow with the logarithm of its size.
		e.issue(now, ReadInterval*time.Duration(1+min(rank, maxReadRank)), Op{Region: own})
	}
	e.Witness.Regions(func(r state.RegionName) {
		if r != own && e.Witness.NeedsRecord(r) {
			e.issue(now, ReadInterval, Op{Region: r})
		}
	})
}

// change creates or changes the record of the region when that is this instance's turn.
func (e *Election) change(now state.Instant, rank int, v *View) {
	if !v.Complete {
		return
	}
	if e.absent {
		if r := Choose(e.self.Region, v.Instances); len(r.Witnesses) > 0 {
			e.issue(now, staleRead, Op{Region: e.self.Region, Write: true, Record: r})
		}
		return
	}
	r, ok := e.Candidate.Propose(now, v.Instances)
	if !ok {
		r, ok = e.Candidate.ProposeGone(now, rank, v.Gone, v.Instances)
	}
	if ok {
		e.issue(now, staleRead, Op{Region: e.self.Region, Write: true, Record: r})
	}
}

// issue asks for an operation unless one on the same record is pending or was issued less than gap ago.
func (e *Election) issue(now state.Instant, gap time.Duration, op Op) {
	f := e.flights[op.Region]
	if f == nil {
		f = &flight{}
		e.flights[op.Region] = f
	}
	since := now.Sub(f.at)
	if f.started && (since < gap || f.pending && since < opTimeout) {
		return
	}
	*f = flight{at: now, started: true, pending: true}
	e.ops = append(e.ops, op)
}

// Stored handles the result of an operation: the record as the store holds it now, or a failure.
func (e *Election) Stored(now state.Instant, op Op, current Record, failed bool) {
	if f := e.flights[op.Region]; f != nil {
		f.pending = false
	}
	if failed {
		// A write may have taken effect although its reply was lost. The next read tells.
		e.absent = e.absent && !op.Write
		if op.Write {
			e.Candidate.newest = max(e.Candidate.newest, op.Record.Number+1)
		}
		return
	}
	e.Witness.Learned(op.Region, current.Number)
	if op.Region != e.self.Region {
		return
	}
	e.absent = current.Number == 0
	e.Candidate.SetRecord(now, current)
	e.Candidate.newest = e.Candidate.record.Number // a witness that has seen a newer one will tell again
}

// Told takes over the record that the home of the region sent. It does not free the witness from reading the store.
func (e *Election) Told(now state.Instant, w *message.Witnesses) {
	if w.Region == e.self.Region {
		e.Candidate.SetRecord(now, Record{Region: w.Region, Number: w.Number, Witnesses: w.Names})
	}
}

// TakeOutbound returns the messages to send since the last call.
func (e *Election) TakeOutbound() []Outbound {
	out := append(e.Candidate.TakeOutbound(), e.replies...)
	e.replies = nil
	return out
}

// TakeOps returns the store operations to run since the last call.
func (e *Election) TakeOps() []Op {
	ops := e.ops
	e.ops = nil
	return ops
}
