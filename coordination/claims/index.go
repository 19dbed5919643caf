package claims

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds of the index of one shard. Past them new claims are unavailable until old ones expire.
const (
	MaxIndexedKeys  = 1 << 16 // keys
	MaxIndexedBytes = 8 << 20 // bytes, with indexedOverhead per key
	indexedOverhead = 160     // bytes
)

// claim is what the log says of a key.
type claim struct {
	attempt     message.AttemptID
	fingerprint uint64
	outcome     message.Outcome // Kind 0 while none is recorded
	at          state.Instant   // when its last record was read or written
}

// aged is an index change in order of time. A later change of the same key makes it void.
type aged struct {
	key message.ClaimKey
	at  state.Instant
}

// index is the state of a shard that follows from its log.
type index struct {
	keys  map[message.ClaimKey]*claim
	order []aged // oldest first
	bytes int
}

func newIndex() *index { return &index{keys: make(map[message.ClaimKey]*claim)} }

func (x *index) full() bool { return len(x.keys) >= MaxIndexedKeys || x.bytes >= MaxIndexedBytes }

// apply takes a record into the index. Records must be applied in the order of their sequence numbers.
func (x *index) apply(now state.Instant, r *Record) {
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Kind == EntryClaim {
			x.claim(now, e)
		} else {
			x.end(now, e)
		}
	}
}

// claim records a claim. Its writer knew all earlier records, so an earlier claim of the key has been released or has
// expired, even if the record that shows it is no longer in the log.
func (x *index) claim(now state.Instant, e *Entry) {
	if c := x.keys[e.Key]; c != nil {
		x.remove(e.Key, c)
	}
	x.put(now, e)
}

// end records an outcome. One that arrives after a later attempt has claimed the expired key is ignored.
func (x *index) end(now state.Instant, e *Entry) {
	c := x.keys[e.Key]
	switch {
	case c == nil && e.Outcome.Kind != message.OutcomeNotRun:
		x.put(now, e) // its claim has expired before it
	case c == nil || c.attempt != e.Attempt || c.outcome.Kind != 0:
	case e.Outcome.Kind == message.OutcomeNotRun:
		x.remove(e.Key, c)
	default:
		x.remove(e.Key, c)
		x.put(now, e)
	}
}

func (x *index) put(now state.Instant, e *Entry) {
	c := &claim{attempt: e.Attempt, fingerprint: e.Fingerprint, outcome: e.Outcome, at: now}
	x.keys[e.Key] = c
	x.order = append(x.order, aged{e.Key, now})
	x.bytes += c.size()
}

func (x *index) remove(k message.ClaimKey, c *claim) {
	delete(x.keys, k)
	x.bytes -= c.size()
}

func (c *claim) size() int { return indexedOverhead + len(c.outcome.Body) + len(c.outcome.BodyType) }

// expire forgets keys whose last record is older than ClaimRetention and RetentionMargin.
func (x *index) expire(now state.Instant) {
	n := 0
	for n < len(x.order) && now.Sub(x.order[n].at) > ClaimRetention+RetentionMargin {
		o := x.order[n]
		if c := x.keys[o.key]; c != nil && c.at == o.at {
			x.remove(o.key, c)
		}
		n++
	}
	x.order = x.order[n:]
}

// answer returns the reply to a claim request as far as the index decides it; ok is false when the key is free.
func (x *index) answer(m *message.ClaimRequest) (r *message.ClaimReply, ok bool) {
	c := x.keys[m.Key]
	if c == nil {
		return nil, false
	}
	r = &message.ClaimReply{Key: m.Key, Attempt: m.Attempt}
	switch {
	case c.fingerprint != m.Fingerprint:
		r.Status = message.ClaimMismatch
	case c.outcome.Kind == message.OutcomeRan:
		r.Status, r.Outcome = message.ClaimRan, c.outcome
	case c.attempt == m.Attempt && c.outcome.Kind == 0:
		r.Status = message.ClaimGranted
	default:
		r.Status, r.Outcome.Kind = message.ClaimPending, message.OutcomeUnknown
	}
	return r, true
}
