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
	case s.lease == 0 || now.Sub(s.leaseAt) > LeasePeriod:
		s.answerKnown(now)
		switch {
		case s.refresh:
			s.list(now)
		case len(s.queue) > 0:
			s.start(now, Op{Kind: OpLease})
		}
	case s.next > s.hint && !s.restart:
		s.start(now, Op{Kind: OpHint, Seq: s.next + HintStep, Version: s.hintVer})
	default:
		s.form(now)
	}
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
	s.refresh = false
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
	s.w.bury(it.claim.Attempt)
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

// appended handles the result of an append.
func (s *shardLog) appended(now state.Instant, r *OpResult) {
	if now.Sub(s.base) > MaxCommitAge {
		s.unload() // newer records may have expired, so the create proves nothing
		return
	}
	switch r.Status {
	case OpOK:
		s.commit(now)
	case OpConflict:
		s.conflict(now, r)
	case OpNotDone:
		if s.unproved {
			s.retryAt = now.Add(RetryDelay)
			return
		}
		s.dropBatch()
		s.fail(now)
	default:
		// The same record is appended again: then either it is in the log or another record with its number is.
		s.w.Stats.LostReplies++
		s.unproved = true
		s.retryAt = now.Add(RetryDelay)
	}
}

func (s *shardLog) conflict(now state.Instant, r *OpResult) {
	if len(r.Records) == 0 { // the lease has ended, or the store lacks the record again
		if s.unproved {
			s.unload()
			return
		}
		s.lease = 0
		s.requeue()
		return
	}
	if r.Records[0].Nonce == s.record.Nonce {
		s.commit(now)
		return
	}
	s.w.Stats.Conflicts++
	s.index.apply(now, &r.Records[0])
	s.next, s.restart = r.Records[0].Seq+1, false
	s.requeue()
}

// requeue puts the batch, which is proved not to be in the log, before the items that came later.
func (s *shardLog) requeue() {
	s.queue = append(s.batch, s.queue...)
	s.batch, s.record, s.unproved = nil, nil, false
}

func (s *shardLog) dropBatch() {
	s.refuseAll(s.batch)
	s.batch, s.record, s.unproved = nil, nil, false
}

// commit answers the batch, whose record is in the log. Invariant at-most-once: a claim is granted here or by the index
// only, which holds nothing but records of the log.
func (s *shardLog) commit(now state.Instant) {
	s.index.apply(now, s.record)
	s.w.Stats.Appends++
	s.w.Stats.Entries += uint64(len(s.record.Entries))
	s.next, s.restart = s.record.Seq+1, false
	if !s.unproved { // a repeated append may have been handed out after the record was created
		s.base, s.freshAt = s.opAt, s.opAt
	}
	batch := s.batch
	s.batch, s.record, s.unproved = nil, nil, false
	for _, it := range batch {
		delete(s.waiting, it.waitKey())
		if it.claim == nil {
			s.w.acknowledge(it.from, it.outcome)
		} else if reply, ok := s.index.answer(it.claim); ok {
			s.w.reply(it.from, reply)
		}
	}
}

// form answers the items that the index decides and starts an append of the others.
func (s *shardLog) form(now state.Instant) {
	s.answerKnown(now)
	if s.refresh {
		s.list(now)
		return
	}
	if len(s.queue) == 0 {
		return
	}
	rec := &Record{Seq: s.next, Nonce: s.w.nonce(), Lease: s.lease}
	inBatch := make(map[message.ClaimKey]struct{})
	size := 0
	var later []*item
	for _, it := range s.queue {
		e := s.entry(it)
		n := entryOverhead + len(e.Outcome.Body) + len(e.Outcome.BodyType)
		_, taken := inBatch[e.Key]
		if it.claim != nil && s.index.keys[e.Key] != nil {
			taken = true // it waits for the outcome of an earlier attempt; invariant at-most-once
		}
		if taken || size+n > MaxBatchBytes || len(rec.Entries) >= MaxBatchEntries {
			later = append(later, it) // one entry per key and record, so that the index decides between two
			continue
		}
		inBatch[e.Key] = struct{}{}
		size += n
		rec.Entries = append(rec.Entries, e)
		s.batch = append(s.batch, it)
	}
	s.queue = later
	if len(rec.Entries) == 0 {
		return
	}
	s.record = rec
	s.start(now, Op{Kind: OpAppend, Seq: rec.Seq, Lease: rec.Lease, Record: rec})
}

func (s *shardLog) entry(it *item) Entry {
	if it.claim != nil {
		return Entry{Kind: EntryClaim, Key: it.claim.Key, Attempt: it.claim.Attempt, Fingerprint: it.claim.Fingerprint}
	}
	o := it.outcome
	return Entry{Kind: EntryOutcome, Key: o.Key, Attempt: o.Attempt, Fingerprint: o.Fingerprint, Outcome: o.Outcome}
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
	_, dead := s.w.dead[it.claim.Attempt]
	if dead || s.index.full() {
		if s.index.full() {
			s.w.Stats.IndexFull++
		}
		s.refuse(it)
		return true
	}
	return false
}
