package claims

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// appendDone handles the result of an append.
func (s *shardLog) appendDone(now state.Instant, r *OpResult) {
	if now.Sub(s.tailAt) > MaxCommitAge {
		s.unload() // newer records may have expired, so a successful create proves nothing
		return
	}
	switch r.Status {
	case OpOK:
		s.commit(now)
	case OpConflict:
		s.conflict(now, r)
	case OpNotDone:
		if s.appendUnknown {
			s.retryAt = now.Add(RetryDelay)
			return
		}
		s.dropBatch()
		s.fail(now)
	default:
		// The same record is appended again. That shows whether the log holds this record or another one with its number.
		s.w.Stats.LostReplies++
		s.appendUnknown = true
		s.retryAt = now.Add(RetryDelay)
	}
}

func (s *shardLog) conflict(now state.Instant, r *OpResult) {
	if len(r.Records) == 0 { // the lease has expired, or the conflicting record no longer exists
		if s.appendUnknown {
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
	s.next, s.logEmpty = r.Records[0].Seq+1, false
	s.requeue()
}

// requeue puts the batch back at the head of the queue. Its record is proved not to be in the log.
func (s *shardLog) requeue() {
	s.queue = append(s.batch, s.queue...)
	s.batch, s.record, s.appendUnknown = nil, nil, false
}

func (s *shardLog) dropBatch() {
	s.refuseAll(s.batch)
	s.batch, s.record, s.appendUnknown = nil, nil, false
}

// commit adds the batch's record, which is now in the log, to the index and answers the batch. Invariant at-most-once:
// claims are granted only here or by the index, which is built from nothing but records of the log.
func (s *shardLog) commit(now state.Instant) {
	s.index.apply(now, s.record)
	s.w.Stats.Appends++
	s.w.Stats.Entries += uint64(len(s.record.Entries))
	s.next, s.logEmpty = s.record.Seq+1, false
	if !s.appendUnknown { // after a retry, opAt may be later than the creation of the record
		s.tailAt, s.freshAt = s.opAt, s.opAt
	}
	batch := s.batch
	s.batch, s.record, s.appendUnknown = nil, nil, false
	for _, it := range batch {
		delete(s.waiting, it.waitKey())
		if it.claim == nil {
			s.w.acknowledge(it.from, it.outcome)
		} else if reply, ok := s.index.answer(it.claim); ok {
			s.w.reply(it.from, reply)
		}
	}
}

// startAppend starts an append with as many queued items as fit into one record.
func (s *shardLog) startAppend(now state.Instant) {
	rec := &Record{Seq: s.next, Nonce: s.w.nonce(), Lease: s.lease}
	inBatch := make(map[message.ClaimKey]struct{})
	size := 0
	var deferred []*item
	for _, it := range s.queue {
		e := s.entry(it)
		n := entryOverhead + len(e.Outcome.Body) + len(e.Outcome.BodyType)
		_, blocked := inBatch[e.Key]
		if it.claim != nil && s.index.keys[e.Key] != nil {
			blocked = true // wait for the outcome of the earlier attempt; invariant at-most-once
		}
		if blocked || size+n > MaxBatchBytes || len(rec.Entries) >= MaxBatchEntries {
			deferred = append(deferred, it) // one entry per key and record, so that the index decides between two claims of a key
			continue
		}
		inBatch[e.Key] = struct{}{}
		size += n
		rec.Entries = append(rec.Entries, e)
		s.batch = append(s.batch, it)
	}
	s.queue = deferred
	if len(rec.Entries) == 0 {
		return
	}
	s.record = rec
	s.tokens--
	s.startOp(now, Op{Kind: OpAppend, Seq: rec.Seq, Lease: rec.Lease, Record: rec})
}

func (s *shardLog) entry(it *item) Entry {
	if it.claim != nil {
		return Entry{Kind: EntryClaim, Key: it.claim.Key, Attempt: it.claim.Attempt, Fingerprint: it.claim.Fingerprint}
	}
	o := it.outcome
	return Entry{Kind: EntryOutcome, Key: o.Key, Attempt: o.Attempt, Fingerprint: o.Fingerprint, Outcome: o.Outcome}
}
