package claims

import (
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds of the index of one shard. Beyond them, new claims are unavailable until old ones expire.
const (
	MaxIndexedKeys  = 1 << 16 // keys
	MaxIndexedBytes = 8 << 20 // bytes, with indexedOverhead per key
	indexedOverhead = 160     // bytes
)

// claim is the state of a key according to the log.
type claim struct {
	attempt     message.AttemptID
	fingerprint uint64
	outcome     message.Outcome // Kind 0 while none is recorded
	at          state.Instant   // when its last record was read or written
}

// indexChange records when a key changed, for its expiry. A later change of the same key makes it void.
type indexChange struct {
	key message.ClaimKey
	at  state.Instant
}

// index is the state of a shard's keys, built from its log.
type index struct {
	keys    map[message.ClaimKey]*claim
	changes []indexChange // oldest first
	bytes   int
}

func newIndex() *index { return &index{keys: make(map[message.ClaimKey]*claim)} }

func (x *index) full() bool { return len(x.keys) >= MaxIndexedKeys || x.bytes >= MaxIndexedBytes }

// apply adds a record to the index. Records must be applied in the order of their sequence numbers.
func (x *index) apply(now state.Instant, r *Record) {
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Kind == EntryClaim {
			x.addClaim(now, e)
		} else {
			x.addOutcome(now, e)
		}
	}
}

// addClaim adds a claim. Its writer knew all earlier records, so an earlier claim of the key has been released or has
// expired, even if the record of its release is no longer in the log.
func (x *index) addClaim(now state.Instant, e *Entry) {
	if c := x.keys[e.Key]; c != nil {
		x.remove(e.Key, c)
	}
	x.put(now, e)
}

// addOutcome adds an outcome. It ignores the outcome of an expired claim whose key a later attempt has claimed since.
func (x *index) addOutcome(now state.Instant, e *Entry) {
	c := x.keys[e.Key]
	switch {
	case c == nil && e.Outcome.Kind != message.OutcomeNotRun:
		x.put(now, e) // the claim expired before its outcome was recorded
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
	x.changes = append(x.changes, indexChange{e.Key, now})
	x.bytes += c.size()
}

func (x *index) remove(k message.ClaimKey, c *claim) {
	delete(x.keys, k)
	x.bytes -= c.size()
}

func (c *claim) size() int { return indexedOverhead + len(c.outcome.Body) + len(c.outcome.BodyType) }

// expire removes keys whose last record is older than ClaimRetention plus RetentionMargin.
func (x *index) expire(now state.Instant) {
	n := 0
	for n < len(x.changes) && now.Sub(x.changes[n].at) > ClaimRetention+RetentionMargin {
		o := x.changes[n]
		if c := x.keys[o.key]; c != nil && c.at == o.at {
			x.remove(o.key, c)
		}
		n++
	}
	x.changes = x.changes[n:]
}

// answer returns the reply to a claim request if the index has an entry for the key; ok is false if the key is free.
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
