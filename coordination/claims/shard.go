package claims

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// shardLog is a writer's state of one shard's log. At most one store operation is under way.
type shardLog struct {
	w       *Writer
	id      Shard
	index   *index
	queue   []*item
	waiting map[waitKey]struct{} // items of queue and batch
	usedAt  state.Instant
	retryAt state.Instant // no store operation starts before; claims are refused until then

	op   *Op           // under way
	opAt state.Instant // when op was started

	loaded      bool
	next        uint64        // sequence number after the last record; 0 before the first page
	listed      bool          // the last page has been read
	lastLease   uint64        // lease of the last listed record, to be renewed before the first append
	tailAt      state.Instant // when next was proved to be unused; the record before it lasts until then plus ClaimRetention
	hint        uint64
	hintVersion uint64
	freshAt     state.Instant // start of the last operation that proved the index to be complete
	refresh     bool          // newer records must be read before a claim is answered as pending
	logEmpty    bool          // the list was empty, so the next record is the first one
	lease       uint64
	leaseAt     state.Instant

	tokens   float64 // appends that may start now
	refilled state.Instant
	listAt   state.Instant // when the last list was started

	batch         []*item // items of record
	record        *Record
	appendUnknown bool // the result of an append of record is unknown: it may have taken effect or may still do so
}

// advance starts the next store operation if there is work and none is under way.
func (s *shardLog) advance(now state.Instant) {
	if s.op != nil || now.Before(s.retryAt) {
		return
	}
	if s.loaded && now.Sub(s.tailAt) > MaxTailAge {
		s.unload()
	}
	if s.record != nil {
		s.startOp(now, Op{Kind: OpAppend, Seq: s.record.Seq, Lease: s.record.Lease, Record: s.record})
		return
	}
	if len(s.queue) == 0 {
		return
	}
	switch {
	case !s.loaded && s.listed:
		s.startOp(now, Op{Kind: OpRenew, Lease: s.lastLease})
	case !s.loaded:
		s.list(now)
	default:
		s.write(now)
	}
}

// write answers the items that the index decides, and starts the next operation for the others.
func (s *shardLog) write(now state.Instant) {
	s.answerQueue(now)
	switch {
	case s.refresh && now.Sub(s.listAt) >= RefreshInterval:
		s.list(now)
	case !s.appendDue(now):
	case s.lease == 0 || now.Sub(s.leaseAt) > LeasePeriod:
		s.startOp(now, Op{Kind: OpLease})
	case s.next > s.hint && !s.logEmpty:
		s.startOp(now, Op{Kind: OpHint, Seq: s.next + HintStep, Version: s.hintVersion})
	default:
		s.startAppend(now)
	}
}

// appendDue reports whether the queue should be appended now. Appends are limited by a token bucket. A queue without
// claims waits up to OutcomeLinger unless it is half full, so that outcomes usually share the record of a later claim.
func (s *shardLog) appendDue(now state.Instant) bool {
	s.tokens = min(AppendBurst, s.tokens+float64(now.Sub(s.refilled))/float64(AppendInterval))
	s.refilled = now
	if s.tokens < 1 {
		return false
	}
	for _, it := range s.queue {
		if it.claim != nil || now.Sub(it.at) >= OutcomeLinger || len(s.queue) >= MaxQueuedPerShard/2 {
			return true
		}
	}
	return false
}

func (s *shardLog) startOp(now state.Instant, op Op) {
	s.w.nextOp++
	op.ID, op.Shard = s.w.nextOp, s.id
	s.op, s.opAt = &op, now
	s.w.ops = append(s.w.ops, op)
}

// list reads the next page of the log.
func (s *shardLog) list(now state.Instant) {
	after := uint64(0)
	if s.next > 0 {
		after = s.next - 1
	} else {
		s.index = newIndex()
		s.w.Stats.Loads++
	}
	s.refresh, s.listAt = false, now
	s.startOp(now, Op{Kind: OpList, Seq: after})
}

// unload drops the state of the log from memory, so that the log is read again. Claims of a record whose append is
// unresolved get no reply, because it is unknown whether they are in the log.
func (s *shardLog) unload() {
	for _, it := range s.batch {
		delete(s.waiting, it.waitKey())
	}
	s.batch, s.record, s.appendUnknown = nil, nil, false
	s.loaded, s.listed, s.next, s.lastLease, s.logEmpty, s.lease = false, false, 0, 0, false, 0
}

func (s *shardLog) opDone(now state.Instant, op *Op, r *OpResult) {
	if r.Status == OpNotDone || r.Status == OpUnknown {
		s.w.Stats.StoreFailures++
	}
	switch op.Kind {
	case OpAppend:
		s.appendDone(now, r)
	case OpList:
		s.handlePage(now, r)
	case OpRenew:
		switch r.Status {
		case OpOK:
			s.loaded = true
		case OpConflict:
			s.unload() // the last record has expired meanwhile
		default:
			s.fail(now)
		}
	case OpLease:
		if r.Status != OpOK {
			s.fail(now)
			return
		}
		s.lease, s.leaseAt = r.Lease, s.opAt
	case OpHint:
		switch r.Status {
		case OpOK:
			s.hint, s.hintVersion = op.Seq, r.Version
		case OpConflict:
			s.unload()
		default:
			s.unload()
			s.fail(now)
		}
	}
}

// handlePage applies a page of the log. After the last page, the lease of the last record is renewed before the first
// append: this proves that the record, or a later one, exists until tailAt plus ClaimRetention, so that no other writer
// finds the log empty while this one appends after that record.
func (s *shardLog) handlePage(now state.Instant, r *OpResult) {
	if r.Status != OpOK && s.loaded {
		s.freshAt = now // newer records cannot be read, so the index counts as complete
		return
	}
	if r.Status != OpOK {
		s.unload()
		s.fail(now)
		return
	}
	for i := range r.Records {
		rec := &r.Records[i]
		if rec.Seq < s.next {
			continue
		}
		s.index.apply(now, rec)
		s.next, s.lastLease, s.logEmpty = rec.Seq+1, rec.Lease, false
	}
	if r.More {
		s.refresh = s.loaded
		return
	}
	s.hint, s.hintVersion, s.freshAt = r.Hint, r.Version, s.opAt
	if s.loaded {
		return // tailAt stays, because the records read now are newer than it
	}
	s.tailAt, s.listed = s.opAt, true
	if s.next == 0 {
		s.next, s.logEmpty, s.loaded = s.hint+1, true, true
	}
}

// fail refuses the queued claims, none of which is in a record, and drops the queued outcomes, which their clients report
// again.
func (s *shardLog) fail(now state.Instant) {
	s.retryAt = now.Add(RetryDelay)
	s.refuseAll(s.queue)
	s.queue = nil
}

func (s *shardLog) refuseAll(items []*item) {
	for _, it := range items {
		delete(s.waiting, it.waitKey())
		s.refuse(it)
	}
}

// refuse answers a claim that is in no record: with the index's answer for its key, or else with ClaimUnavailable.
func (s *shardLog) refuse(it *item) {
	if it.claim == nil {
		return // the client reports an outcome again
	}
	if reply, ok := s.index.answer(it.claim); ok {
		s.w.reply(it.from, reply)
		return
	}
	s.w.markEnded(it.claim.Attempt)
	s.w.refuse(it.from, it.claim)
}

// dropOverdue drops queued items that are overdue, and refuses the claims among them: their clients have timed out.
func (s *shardLog) dropOverdue(now state.Instant) {
	remaining := s.queue[:0]
	for _, it := range s.queue {
		if it.endsAt.Before(now) {
			s.refuseAll([]*item{it})
		} else {
			remaining = append(remaining, it)
		}
	}
	s.queue = remaining
}

// answerQueue answers and removes the queued items that need no entry in the log.
func (s *shardLog) answerQueue(now state.Instant) {
	remaining := s.queue[:0]
	for _, it := range s.queue {
		if s.tryAnswer(it) {
			delete(s.waiting, it.waitKey())
		} else {
			remaining = append(remaining, it)
		}
	}
	s.queue = remaining
}

// tryAnswer answers an item if it needs no entry in the log, and reports whether it did.
func (s *shardLog) tryAnswer(it *item) bool {
	if it.claim == nil {
		c := s.index.keys[it.outcome.Key]
		if c == nil || c.attempt != it.outcome.Attempt || c.outcome.Kind == 0 {
			return false // the index may lack newer records; the append detects that
		}
		s.w.acknowledge(it.from, it.outcome)
		return true
	}
	if reply, ok := s.index.answer(it.claim); ok {
		decided := reply.Status == message.ClaimRan || reply.Status == message.ClaimGranted
		if _, ok := s.waiting[waitKey{s.index.keys[it.claim.Key].attempt, false}]; ok && !decided {
			return false // the outcome of the recorded attempt is about to be appended
		}
		if !decided && s.freshAt.Before(it.at) {
			s.refresh = true // another writer may have recorded an outcome
			return false
		}
		s.w.reply(it.from, reply)
		return true
	}
	_, ended := s.w.ended[it.claim.Attempt]
	if ended || s.index.full() {
		if s.index.full() {
			s.w.Stats.IndexFull++
		}
		s.refuse(it)
		return true
	}
	return false
}
