package homelease

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Time bounds of store operations.
const (
	ReadInterval   = time.Second            // between reads of one record
	maxReadRank    = 31                     // rank from which on all candidates read at the same interval
	urgentInterval = 200 * time.Millisecond // between writes, and between reads while the store may hold a newer record
	opTimeout      = 5 * time.Second        // after which an operation without a result counts as lost
)

// Op is a store operation on a record. A write replaces the record whose number is Record.Number; 0 creates it.
type Op struct {
	Region state.RegionName
	Write  bool
	Record Record
}

// View holds what an election needs to know about the instances.
type View struct {
	Instances []state.Instance              // with their current status
	Complete  bool                          // the platform's list has been read
	Unlisted  func(state.InstanceName) bool // whether the platform has not listed the instance for a long time
}

// lastOp is the last store operation on the record of one region.
type lastOp struct {
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
	lastOps   map[state.RegionName]*lastOp
	ops       []Op
	replies   []Outbound
}

// NewElection returns the election state of a process that has just started.
func NewElection(now state.Instant, self state.Instance) *Election {
	floor := EpochFloor(self.Incarnation)
	return &Election{
		Witness: NewWitness(now, floor), Candidate: NewCandidate(now, &self, floor), self: self,
		lastOps: make(map[state.RegionName]*lastOp),
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

// Tick runs the candidate and issues the reads and writes of records that are due.
func (e *Election) Tick(now state.Instant, v *View, leaving bool) {
	rank := e.rank(now, v.Instances)
	e.Candidate.Tick(now, rank, !leaving)
	e.changeRecord(now, rank, v) // first: a region without a home reads repeatedly, and a pending read delays the write
	e.readRecords(now, rank)
}

// rank counts the live candidates of the region before this instance, without an unresponsive home.
func (e *Election) rank(now state.Instant, instances []state.Instance) int {
	unresponsive := e.Candidate.UnresponsiveHome(now)
	own := score(e.self.Region, e.self.Name)
	n := 0
	for i := range instances {
		in := &instances[i]
		if in.Region == e.self.Region && in.Status == state.InstanceLive && in.Name != unresponsive && score(in.Region, in.Name) > own {
			n++
		}
	}
	return n
}

// readRecords reads the records that this instance needs: of its region, and of each region that requested a promise.
func (e *Election) readRecords(now state.Instant, rank int) {
	own := e.self.Region
	_, stale := e.Candidate.Record()
	switch {
	case stale:
		e.issue(now, urgentInterval, Op{Region: own})
	case e.Witness.NeedsRecord(own):
		e.issue(now, ReadInterval, Op{Region: own})
	case e.Candidate.TimeWithoutHome(now) >= ReadInterval:
		// Candidates of a higher rank read less often, so that the reads of a region without a home grow only with the
		// logarithm of its size.
		e.issue(now, ReadInterval*time.Duration(1+min(rank, maxReadRank)), Op{Region: own})
	}
	e.Witness.Regions(func(r state.RegionName) {
		if r != own && e.Witness.NeedsRecord(r) {
			e.issue(now, ReadInterval, Op{Region: r})
		}
	})
}

// changeRecord creates or changes the record of the region if this instance may do so now.
func (e *Election) changeRecord(now state.Instant, rank int, v *View) {
	if !v.Complete {
		return
	}
	if e.absent {
		if r := ChooseWitnesses(e.self.Region, v.Instances); len(r.Witnesses) > 0 {
			e.issue(now, urgentInterval, Op{Region: e.self.Region, Write: true, Record: r})
		}
		return
	}
	r, ok := e.Candidate.Propose(now, v.Instances)
	if !ok {
		r, ok = e.Candidate.ProposeRemoval(now, rank, v.Unlisted, v.Instances)
	}
	if ok {
		e.issue(now, urgentInterval, Op{Region: e.self.Region, Write: true, Record: r})
	}
}

// issue starts an operation unless one on the same record is pending or was issued less than minInterval ago.
func (e *Election) issue(now state.Instant, minInterval time.Duration, op Op) {
	last := e.lastOps[op.Region]
	if last == nil {
		last = &lastOp{}
		e.lastOps[op.Region] = last
	}
	elapsed := now.Sub(last.at)
	if last.started && (elapsed < minInterval || last.pending && elapsed < opTimeout) {
		return
	}
	*last = lastOp{at: now, started: true, pending: true}
	e.ops = append(e.ops, op)
}

// OpDone handles the result of an operation: the record that the store holds now, or a failure.
func (e *Election) OpDone(now state.Instant, op Op, current Record, failed bool) {
	if last := e.lastOps[op.Region]; last != nil {
		last.pending = false
	}
	if failed {
		// The write may have taken effect although its reply was lost. The next read shows it.
		e.absent = e.absent && !op.Write
		if op.Write {
			e.Candidate.newestRecord = max(e.Candidate.newestRecord, op.Record.Number+1)
		}
		return
	}
	e.Witness.RecordRead(op.Region, current.Number)
	if op.Region != e.self.Region {
		return
	}
	e.absent = current.Number == 0
	e.Candidate.SetRecord(now, current)
	e.Candidate.newestRecord = e.Candidate.record.Number // a witness that has seen a newer one reports it with its next reply
}

// SetRecord sets the record that the home of the region sent. The witness must still read its record from the store.
func (e *Election) SetRecord(now state.Instant, w *message.Witnesses) {
	if w.Region == e.self.Region {
		e.Candidate.SetRecord(now, Record{Region: w.Region, Number: w.Number, Witnesses: w.Names})
	}
}

// TakeOutbound returns and clears the messages to send.
func (e *Election) TakeOutbound() []Outbound {
	out := append(e.Candidate.TakeOutbound(), e.replies...)
	e.replies = nil
	return out
}

// TakeOps returns and clears the store operations to run. The result of each must be passed to OpDone.
func (e *Election) TakeOps() []Op {
	ops := e.ops
	e.ops = nil
	return ops
}
