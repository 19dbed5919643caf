package claims_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"azurebridge/coordination/claims"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

const (
	modelProcesses = 3
	modelPage      = 2               // records of one list reply
	modelOpDelay   = 8 * time.Minute // longest time after which a store operation still takes effect
)

// process is an instance with its client and writer, which a restart replaces.
type process struct {
	name   state.InstanceName
	client *claims.Client
	writer *claims.Writer
}

type modelOp struct {
	by      *process
	writer  *claims.Writer // of the incarnation that started the operation
	op      claims.Op
	at      state.Instant
	applied bool
	result  claims.OpResult
}

type packet struct {
	from, to state.InstanceName
	body     message.Body
}

// attempt is one attempt of a client, with the result of its claim.
type attempt struct {
	req     *message.ClaimRequest
	by      *process
	status  message.ClaimStatus
	granted state.Instant
	done    bool
}

// model holds the processes, the network and the store, and checks the invariants.
type model struct {
	t         *rapid.T
	now       state.Instant
	processes []*process
	writers   [claims.Shards]state.InstanceName
	packets   []packet
	ops       []*modelOp
	records   map[claims.Shard]map[uint64]claims.Record
	hint      map[claims.Shard][2]uint64 // value and version
	leases    map[uint64]state.Instant   // end of each lease
	lastID    uint64
	attempts  []*attempt
	claimed   map[message.AttemptID]bool            // attempts whose claim was ever in the log
	ended     map[message.AttemptID]message.Outcome // recorded outcomes
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, records: make(map[claims.Shard]map[uint64]claims.Record), hint: make(map[claims.Shard][2]uint64),
		leases: make(map[uint64]state.Instant), claimed: make(map[message.AttemptID]bool),
		ended: make(map[message.AttemptID]message.Outcome),
	}
	for i := range modelProcesses {
		p := &process{name: state.InstanceName(fmt.Sprintf("entry-%d", i))}
		m.processes = append(m.processes, p)
		m.restart(p)
	}
	return m
}

func (m *model) id() uint64 { m.lastID++; return m.lastID }

func (m *model) nonce() (n claims.Nonce) {
	copy(n[:], fmt.Sprintf("%016d", m.id()))
	return n
}

// restart replaces the client and writer of a process, drops the messages to it, and ends its attempts.
func (m *model) restart(p *process) {
	p.client = claims.NewClient(func(s claims.Shard) state.InstanceName { return m.writers[s] })
	p.writer = claims.NewWriter(m.nonce)
	m.packets = slices.DeleteFunc(m.packets, func(x packet) bool { return x.to == p.name })
	for _, a := range m.attempts {
		if a.by == p {
			a.done = true
		}
	}
}

func (m *model) collect(p *process) {
	out := append(p.client.TakeOutbound(), p.writer.TakeOutbound()...)
	// Client.Tick iterates over maps; a fixed order makes failures reproducible.
	text := func(o claims.Outbound) string { return fmt.Sprintf("%T%v", o.Body, o.Body) }
	slices.SortStableFunc(out, func(a, b claims.Outbound) int { return strings.Compare(text(a), text(b)) })
	for _, o := range out {
		m.packets = append(m.packets, packet{p.name, o.To, o.Body})
	}
	for _, op := range p.writer.TakeOps() {
		m.ops = append(m.ops, &modelOp{by: p, writer: p.writer, op: op, at: m.now})
	}
}

func (m *model) deliver(x packet) {
	for _, p := range m.processes {
		if p.name != x.to {
			continue
		}
		switch b := x.body.(type) {
		case *message.ClaimRequest:
			p.writer.Claim(m.now, x.from, b)
		case *message.ClaimReply:
			p.client.Reply(m.now, b)
		case *message.OutcomeReport:
			p.writer.Outcome(m.now, x.from, b)
		case *message.OutcomeAck:
			p.client.Acknowledge(b)
		}
		m.collect(p)
	}
}

func (m *model) tick(p *process) {
	p.client.Tick(m.now)
	p.writer.Tick(m.now)
	m.collect(p)
}

// start begins an attempt.
func (m *model) start(p *process, key byte, fingerprint uint64) *attempt {
	n := m.nonce()
	a := &attempt{by: p, req: &message.ClaimRequest{Key: message.ClaimKey{key}, Fingerprint: fingerprint, Attempt: message.AttemptID(n)}}
	m.attempts = append(m.attempts, a)
	p.client.Claim(m.now, a.req, &modelWaiter{m, a})
	m.collect(p)
	return a
}

// modelWaiter checks each answer against the log.
type modelWaiter struct {
	m *model
	a *attempt
}

func (w *modelWaiter) Claimed(r *message.ClaimReply) bool {
	m, a := w.m, w.a
	a.status = r.Status
	switch r.Status {
	case message.ClaimGranted:
		if !m.claimed[a.req.Attempt] {
			m.t.Fatalf("attempt %x is granted but not in the log", a.req.Attempt)
		}
		for _, o := range m.attempts {
			if o != a && o.req.Key == a.req.Key && o.status == message.ClaimGranted &&
				m.now.Sub(o.granted) < claims.ClaimRetention && m.ended[o.req.Attempt].Kind != message.OutcomeNotRun {
				m.t.Fatalf("attempts %s and %s of one key are both granted", o.req.Attempt, a.req.Attempt)
			}
		}
		a.granted = m.now
	case message.ClaimRan:
		if !slices.ContainsFunc(m.attempts, func(o *attempt) bool {
			e := m.ended[o.req.Attempt]
			return o.req.Key == a.req.Key && e.Kind == message.OutcomeRan && string(e.Body) == string(r.Outcome.Body)
		}) {
			m.t.Fatalf("answer %q was never recorded for key %x", r.Outcome.Body, a.req.Key)
		}
	}
	return true
}

// finish ends a granted attempt and reports its outcome.
func (m *model) finish(a *attempt, kind message.OutcomeKind) {
	a.done = true
	o := message.Outcome{Kind: kind}
	if kind == message.OutcomeRan {
		o.StatusCode, o.Body = 200, a.req.Attempt[:]
	}
	a.by.client.Report(m.now, &message.OutcomeReport{
		Key: a.req.Key, Attempt: a.req.Attempt, Fingerprint: a.req.Fingerprint, Outcome: o,
	})
	m.collect(a.by)
}

// apply carries out a store operation.
func (m *model) apply(o *modelOp) {
	o.applied = true
	m.expire()
	s, op, r := o.op.Shard, &o.op, &o.result
	*r = claims.OpResult{ID: op.ID, Shard: s, Status: claims.OpConflict}
	switch op.Kind {
	case claims.OpList:
		r.Status, r.Hint, r.Version = claims.OpOK, m.hint[s][0], m.hint[s][1]
		for _, seq := range slices.Sorted(maps.Keys(m.records[s])) {
			if seq > op.Seq {
				r.Records = append(r.Records, m.records[s][seq])
			}
		}
		if len(r.Records) > modelPage {
			r.Records, r.More = r.Records[:modelPage], true
		}
	case claims.OpLease:
		r.Status, r.Lease = claims.OpOK, m.id()
		m.leases[r.Lease] = m.now.Add(claims.LeaseTTL)
	case claims.OpRenew:
		if m.leases[op.Lease] != 0 {
			r.Status = claims.OpOK
			m.leases[op.Lease] = m.now.Add(claims.LeaseTTL)
		}
	case claims.OpHint:
		if m.hint[s][1] == op.Version {
			m.hint[s] = [2]uint64{op.Seq, op.Version + 1}
			r.Status, r.Version = claims.OpOK, op.Version+1
		}
	case claims.OpAppend:
		if old, ok := m.records[s][op.Seq]; ok {
			r.Records = []claims.Record{old}
		} else if m.leases[op.Lease] != 0 {
			r.Status = claims.OpOK
			m.storeRecord(s, op)
		}
	}
}

func (m *model) storeRecord(s claims.Shard, op *claims.Op) {
	if m.records[s] == nil {
		m.records[s] = make(map[uint64]claims.Record)
	}
	rec := *op.Record
	rec.Lease = op.Lease
	m.records[s][op.Seq] = rec
	for _, e := range rec.Entries {
		if e.Kind == claims.EntryClaim {
			m.claimed[e.Attempt] = true
		} else if m.ended[e.Attempt].Kind == 0 {
			m.ended[e.Attempt] = e.Outcome
		}
	}
}

func (m *model) expire() {
	maps.DeleteFunc(m.leases, func(_ uint64, ends state.Instant) bool { return ends.Before(m.now) })
	for _, records := range m.records {
		maps.DeleteFunc(records, func(_ uint64, r claims.Record) bool { return m.leases[r.Lease] == 0 })
	}
}

// finishOp removes an operation and passes its result to the writer, unless the process has restarted since. A status of
// 0 stands for the result that apply stored.
func (m *model) finishOp(o *modelOp, status claims.OpStatus) {
	m.ops = slices.DeleteFunc(m.ops, func(x *modelOp) bool { return x == o })
	if status != 0 {
		o.result = claims.OpResult{ID: o.op.ID, Shard: o.op.Shard, Status: status}
	}
	if o.by.writer == o.writer {
		o.by.writer.Done(m.now, &o.result)
		m.collect(o.by)
	}
}
