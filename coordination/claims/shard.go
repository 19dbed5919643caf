package claims

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// shardLog is a writer's view of one log. At most one store operation is under way.
type shardLog struct {
	w       *Writer
	id      Shard
	index   *index
	queue   []*item
	waiting map[waitKey]struct{} // items of queue and batch
	usedAt  state.Instant
	retryAt state.Instant // no store operation before; claims are refused meanwhile

	op   *Op           // under way
	opAt state.Instant // when it was handed out

	loaded  bool
	next    uint64        // sequence number after the last record; 0 before the first page
	listed  bool          // the last page has been read
	anchor  uint64        // lease of the last listed record, to be renewed before the first append
	base    state.Instant // when next was free, and from when on the record before it lasts for ClaimRetention
	hint    uint64
	hintVer uint64
	freshAt state.Instant // when the last operation began that proved the index to be complete
	refresh bool          // the index must be completed before a claim is answered as pending
	restart bool          // the list was empty, so the next record is the first one
	lease   uint64
	leaseAt state.Instant

	tokens   float64 // appends that may begin at once
	refilled state.Instant
	listAt   state.Instant // when the last list was handed out

	batch    []*item // of the append under way or unresolved
	record   *Record
	unproved bool // an append of record may have taken effect or may still do so
}

// advance hands out the next store operation if there is work and none is under way.
func (s *shardLog) advance(now state.Instant) {
	if s.op != nil || now.Before(s.retryAt) {
		return
	}
	if s.loaded && now.Sub(s.base) > MaxBaseAge {
		s.unload()
	}
	if s.record != nil {
		s.start(now, Op{Kind: OpAppend, Seq: s.record.Seq, Lease: s.record.Lease, Record: s.record})
		return
	}
	if len(s.queue) == 0 {
		return
	}
	switch {
	case !s.loaded && s.listed:
		s.start(now, Op{Kind: OpRenew, Lease: s.anchor})
	case !s.loaded:
		s.list(now)
	default:
		s.write(now)
	}
}

// write answers what the index decides and takes the next step of writing the rest.
func (s *shardLog) write(now state.Instant) {
	s.answerKnown(now)
	switch {
	case s.refresh && now.Sub(s.listAt) >= RefreshInterval:
		s.list(now)
	case !s.due(now):
	case s.lease == 0 || now.Sub(s.leaseAt) > LeasePeriod:
		s.start(now, Op{Kind: OpLease})
	case s.next > s.hint && !s.restart:
		s.start(now, Op{Kind: OpHint, Seq: s.next + HintStep, Version: s.hintVer})
	default:
		s.startAppend(now)
	}
}

// due reports whether the queue should be appended now. Appends are limited by a token bucket. Outcomes alone wait for
// OutcomeLinger, so that they usually go into the record of a later claim.
func (s *shardLog) due(now state.Instant) bool {
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

func (s *shardLog) start(now state.Instant, op Op) {
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
	s.start(now, Op{Kind: OpList, Seq: after})
}

// unload forgets the log. Claims of an unproved record are left without an answer, since nothing is known about them.
func (s *shardLog) unload() {
	for _, it := range s.batch {
		delete(s.waiting, it.waitKey())
	}
	s.batch, s.record, s.unproved = nil, nil, false
	s.loaded, s.listed, s.next, s.anchor, s.restart, s.lease = false, false, 0, 0, false, 0
}

func (s *shardLog) done(now state.Instant, op *Op, r *OpResult) {
	if r.Status == OpNotDone || r.Status == OpUnknown {
		s.w.Stats.StoreFailures++
	}
	switch op.Kind {
	case OpAppend:
		s.appended(now, r)
	case OpList:
		s.takePage(now, r)
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
			s.hint, s.hintVer = op.Seq, r.Version
		case OpConflict:
			s.unload()
		default:
			s.unload()
			s.fail(now)
		}
	}
}

// takePage takes over a page of the log. After the last page, the lease of the last record is renewed before the first
// append: this proves that the record, or a later one, exists until base plus ClaimRetention, so that no other writer
// finds the log empty while this one appends after that record.
func (s *shardLog) takePage(now state.Instant, r *OpResult) {
	if r.Status != OpOK && s.loaded {
		s.freshAt = now // there is no newer knowledge to be had
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
		s.next, s.anchor, s.restart = rec.Seq+1, rec.Lease, false
	}
	if r.More {
		s.refresh = s.loaded
		return
	}
	s.hint, s.hintVer, s.freshAt = r.Hint, r.Version, s.opAt
	if s.loaded {
		return // base stays: the records that were read now are younger than it
	}
	s.base, s.listed = s.opAt, true
	if s.next == 0 {
		s.next, s.restart, s.loaded = s.hint+1, true, true
	}
}

// fail refuses the claims that wait: none of them is in a record. Their outcomes are reported again.
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

// refuse answers a claim that is in no record with what the index says of its key, or as unavailable.
func (s *shardLog) refuse(it *item) {
	if it.claim == nil {
		return // an outcome is reported again
	}
	if reply, ok := s.index.answer(it.claim); ok {
		s.w.reply(it.from, reply)
		return
	}
	s.w.markEnded(it.claim.Attempt)
	s.w.refuse(it.from, it.claim)
}

// dropOverdue refuses claims whose client has given up.
func (s *shardLog) dropOverdue(now state.Instant) {
	kept := s.queue[:0]
	for _, it := range s.queue {
		if it.endsAt.Before(now) {
			s.refuseAll([]*item{it})
		} else {
			kept = append(kept, it)
		}
	}
	s.queue = kept
}

// answerKnown answers the items for which the log needs no entry.
func (s *shardLog) answerKnown(now state.Instant) {
	kept := s.queue[:0]
	for _, it := range s.queue {
		if s.known(it) {
			delete(s.waiting, it.waitKey())
		} else {
			kept = append(kept, it)
		}
	}
	s.queue = kept
}

func (s *shardLog) known(it *item) bool {
	if it.claim == nil {
		c := s.index.keys[it.outcome.Key]
		if c == nil || c.attempt != it.outcome.Attempt || c.outcome.Kind == 0 {
			return false // an index without the claim may lack newer records; the append finds out
		}
		s.w.acknowledge(it.from, it.outcome)
		return true
	}
	if reply, ok := s.index.answer(it.claim); ok {
		decided := reply.Status == message.ClaimRan || reply.Status == message.ClaimGranted
		if _, ok := s.waiting[waitKey{s.index.keys[it.claim.Key].attempt, false}]; ok && !decided {
			return false // its outcome is about to be recorded
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
