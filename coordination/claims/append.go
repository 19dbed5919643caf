package claims

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

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

// startAppend starts an append of the items that wait.
func (s *shardLog) startAppend(now state.Instant) {
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
	s.tokens--
	s.start(now, Op{Kind: OpAppend, Seq: rec.Seq, Lease: rec.Lease, Record: rec})
}

func (s *shardLog) entry(it *item) Entry {
	if it.claim != nil {
		return Entry{Kind: EntryClaim, Key: it.claim.Key, Attempt: it.claim.Attempt, Fingerprint: it.claim.Fingerprint}
	}
	o := it.outcome
	return Entry{Kind: EntryOutcome, Key: o.Key, Attempt: o.Attempt, Fingerprint: o.Fingerprint, Outcome: o.Outcome}
}
