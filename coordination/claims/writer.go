package claims

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds and intervals of the writer.
const (
	MaxQueuedPerShard = 2048                   // claims and outcomes that wait for the log of one shard
	MaxBatchBytes     = 192 << 10              // bytes of one record, with entryOverhead per entry
	MaxBatchEntries   = 1024                   // entries of one record
	MaxEndedAttempts  = 4096                   // remembered attempts that are never sent
	RetryDelay        = 200 * time.Millisecond // after a failed store operation
	ShardIdle         = 10 * time.Minute       // after which an unused shard is dropped from memory
	entryOverhead     = 96                     // bytes of an encoded entry without its answer
)

// Rate limits of a shard's store operations. The store serves several hundred writes per second in total; 16 logs at one
// append per AppendInterval use at most 200 of them, and a higher rate of submissions makes larger batches instead.
const (
	AppendInterval  = 80 * time.Millisecond  // between appends of one shard in the long run
	AppendBurst     = 4                      // appends that may follow each other at once
	OutcomeLinger   = 250 * time.Millisecond // max time that an outcome waits to share the record of a claim
	RefreshInterval = 100 * time.Millisecond // between reads that look for another writer's records
)

// MaxTailAge bounds the time since the last record of the log was proved to be the last one, when an operation starts;
// MaxCommitAge is the bound when the reply to an append arrives. Within ClaimRetention no record that another writer
// appended since can have expired, so a create that succeeds proves that there is none. After a longer pause the create
// could succeed because newer records have expired. The rest up to ClaimRetention is a margin for clock drift.
const (
	MaxTailAge   = ClaimRetention / 2
	MaxCommitAge = ClaimRetention - 10*time.Minute
)

// HintStep is the number of sequence numbers that one write of a shard's hint reserves. The hint is stored beside the log
// and does not expire. Only the first record after an empty list has a sequence number above it. When all records of a
// shard have expired, its log continues above the hint, so that the numbering never restarts.
const HintStep = 1000

// item is a claim or an outcome that waits for the log.
type item struct {
	from    state.InstanceName
	claim   *message.ClaimRequest // nil for an outcome
	outcome *message.OutcomeReport
	at      state.Instant // when it arrived
	endsAt  state.Instant
}

func (it *item) key() message.ClaimKey {
	if it.claim != nil {
		return it.claim.Key
	}
	return it.outcome.Key
}

func (it *item) attempt() message.AttemptID {
	if it.claim != nil {
		return it.claim.Attempt
	}
	return it.outcome.Attempt
}

// waitKey identifies an item: the claim or the outcome of an attempt.
type waitKey struct {
	attempt message.AttemptID
	claim   bool
}

func (it *item) waitKey() waitKey { return waitKey{it.attempt(), it.claim != nil} }

// Writer decides claims and appends them to the logs of the shards. Any instance that receives a request acts as writer.
// It belongs to the control goroutine.
type Writer struct {
	nonce      func() Nonce
	shards     [Shards]*shardLog
	nextOp     uint64
	ended      map[message.AttemptID]struct{} // attempts that are never sent
	endedOrder []message.AttemptID
	ops        []Op
	out        []Outbound
	Stats      Stats
}

// NewWriter returns a writer that has read no log. Each call of nonce must return another value.
func NewWriter(nonce func() Nonce) *Writer {
	return &Writer{nonce: nonce, ended: make(map[message.AttemptID]struct{})}
}

// Claim handles a claim request.
func (w *Writer) Claim(now state.Instant, from state.InstanceName, m *message.ClaimRequest) {
	if _, ok := w.ended[m.Attempt]; ok {
		w.refuse(from, m)
		return
	}
	w.add(now, &item{from: from, claim: m, at: now, endsAt: now.Add(ClaimTimeout)})
}

// Outcome handles the report of an outcome.
func (w *Writer) Outcome(now state.Instant, from state.InstanceName, m *message.OutcomeReport) {
	if m.Outcome.Kind == message.OutcomeNotRun {
		w.markEnded(m.Attempt)
	}
	w.add(now, &item{from: from, outcome: m, at: now, endsAt: now.Add(ReportResendMax)})
}

func (w *Writer) add(now state.Instant, it *item) {
	s := w.shard(ShardOf(it.key()))
	s.usedAt = now
	if _, ok := s.waiting[it.waitKey()]; ok {
		return // a resend of a queued request
	}
	full := len(s.queue) >= MaxQueuedPerShard
	if full {
		w.Stats.QueueFull++
	}
	if full || it.claim != nil && (s.appendUnknown || now.Before(s.retryAt)) {
		s.refuse(it)
		return
	}
	s.queue = append(s.queue, it)
	s.waiting[it.waitKey()] = struct{}{}
	s.advance(now)
}

// Done handles the result of a store operation.
func (w *Writer) Done(now state.Instant, r *OpResult) {
	s := w.shards[r.Shard%Shards]
	if s == nil || s.op == nil || s.op.ID != r.ID {
		return
	}
	op := s.op
	s.op = nil
	s.opDone(now, op, r)
	s.advance(now)
}

// Tick expires keys, drops overdue items and unused shards, and starts the store operations that are due.
func (w *Writer) Tick(now state.Instant) {
	for id, s := range w.shards {
		if s == nil {
			continue
		}
		s.index.expire(now)
		if s.op == nil {
			s.dropOverdue(now)
			s.advance(now)
		}
		if s.op == nil && len(s.queue) == 0 && s.batch == nil && now.Sub(s.usedAt) > ShardIdle {
			w.shards[id] = nil
		}
	}
}

// TakeOps returns and clears the store operations to run. The result of each must be passed to Done.
func (w *Writer) TakeOps() []Op {
	ops := w.ops
	w.ops = nil
	return ops
}

// TakeOutbound returns and clears the messages to send.
func (w *Writer) TakeOutbound() []Outbound {
	out := w.out
	w.out = nil
	return out
}

func (w *Writer) shard(id Shard) *shardLog {
	s := w.shards[id]
	if s == nil {
		s = &shardLog{w: w, id: id, index: newIndex(), waiting: make(map[waitKey]struct{}), tokens: AppendBurst}
		w.shards[id] = s
	}
	return s
}

// markEnded records that an attempt is never sent, so that a late duplicate of its request is not granted.
func (w *Writer) markEnded(a message.AttemptID) {
	if _, ok := w.ended[a]; ok {
		return
	}
	if len(w.endedOrder) >= MaxEndedAttempts {
		delete(w.ended, w.endedOrder[0])
		w.endedOrder = w.endedOrder[1:]
	}
	w.ended[a] = struct{}{}
	w.endedOrder = append(w.endedOrder, a)
}

func (w *Writer) refuse(to state.InstanceName, m *message.ClaimRequest) {
	w.reply(to, &message.ClaimReply{Key: m.Key, Attempt: m.Attempt, Status: message.ClaimUnavailable})
}

func (w *Writer) reply(to state.InstanceName, r *message.ClaimReply) {
	switch r.Status {
	case message.ClaimGranted:
		w.Stats.Granted++
	case message.ClaimRan:
		w.Stats.Replayed++
	case message.ClaimPending:
		w.Stats.Pending++
	case message.ClaimMismatch:
		w.Stats.Mismatched++
	case message.ClaimUnavailable:
		w.Stats.Unavailable++
	}
	w.out = append(w.out, Outbound{to, r})
}

func (w *Writer) acknowledge(to state.InstanceName, m *message.OutcomeReport) {
	w.out = append(w.out, Outbound{to, &message.OutcomeAck{Key: m.Key, Attempt: m.Attempt}})
}
