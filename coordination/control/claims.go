package control

import (
	"strconv"
	"time"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/claims"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// MaxBufferedReports bounds the outcomes that wait for the control goroutine.
const MaxBufferedReports = 8192

// claimRankInterval is the time between choices of the writers while the list of instances is the same. An outdated choice is
// harmless, since any instance may write.
const claimRankInterval = time.Second

// Claim asks for the right to send a submission with an idempotency key.
type Claim struct {
	Request *message.ClaimRequest
	Waiter  claims.Waiter
}

// StoreDone brings the result of a store operation.
type StoreDone struct{ Result *claims.OpResult }

func (Claim) event()     {}
func (StoreDone) event() {}

// StoreWorker carries out store operations. Submit must not block; it returns false when its queue is full.
type StoreWorker interface {
	Submit(op claims.Op) bool
}

// claimCores are the parts of the core that keep idempotency keys.
type claimCores struct {
	client   *claims.Client
	writer   *claims.Writer
	writers  [claims.Shards]state.InstanceName
	ranked   []state.Instance // the list from which writers was chosen
	rankedAt state.Instant
}

func (c *Core) initClaims() {
	c.claims = claimCores{client: claims.NewClient(c.writerOf), writer: claims.NewWriter(claims.NewNonce)}
}

// writerOf returns the live instance with the highest rendezvous score for a shard.
func (c *Core) writerOf(s claims.Shard) state.InstanceName {
	if len(c.claims.ranked) != len(c.instances) || len(c.instances) > 0 && &c.claims.ranked[0] != &c.instances[0] {
		c.rankWriters()
	}
	return c.claims.writers[s]
}

// rankWriters chooses the writers of all shards.
func (c *Core) rankWriters() {
	c.claims.ranked = c.instances
	for s := range c.claims.writers {
		key := "claims/" + strconv.Itoa(s)
		var best state.InstanceName
		var high uint64
		for i := range c.instances {
			in := &c.instances[i]
			if in.Status != state.InstanceLive {
				continue
			}
			if score := state.RendezvousScore(key, string(in.Name)); best == "" || score > high {
				best, high = in.Name, score
			}
		}
		c.claims.writers[s] = best
	}
}

// stepClaims handles the events of claims.
func (c *Core) stepClaims(now state.Instant, ev Event) {
	switch ev := ev.(type) {
	case Claim:
		c.claims.client.Claim(now, ev.Request, ev.Waiter)
	case StoreDone:
		c.claims.writer.Done(now, ev.Result)
	}
}

// Report takes over the outcome of an attempt from a traffic goroutine.
func (c *Core) Report(now state.Instant, m *message.OutcomeReport) { c.claims.client.Report(now, m) }

func (c *Core) tickClaims(now state.Instant) {
	if now.Sub(c.claims.rankedAt) >= claimRankInterval { // the entries of the list may have changed in place
		c.claims.rankedAt = now
		c.rankWriters()
	}
	c.claims.client.Tick(now)
	c.claims.writer.Tick(now)
}

// deliverClaims handles the messages of claims.
func (c *Core) deliverClaims(now state.Instant, from state.InstanceName, b message.Body) {
	switch m := b.(type) {
	case *message.ClaimRequest:
		c.claims.writer.Claim(now, from, m)
	case *message.ClaimReply:
		c.claims.client.Reply(now, m)
	case *message.OutcomeReport:
		c.claims.writer.Outcome(now, from, m)
	case *message.OutcomeAck:
		c.claims.client.Acknowledge(m)
	}
}

// collectClaims moves the messages and store operations of claims to Ready.
func (c *Core) collectClaims() {
	for _, list := range [][]claims.Outbound{c.claims.client.TakeOutbound(), c.claims.writer.TakeOutbound()} {
		for _, o := range list {
			c.post([]admission.Outbound{admission.Outbound(o)})
		}
	}
	c.ready.Store = append(c.ready.Store, c.claims.writer.TakeOps()...)
}

// UseStore sets the worker for store operations. It must be called before Run.
func (l *Loop) UseStore(w StoreWorker) { l.store = w }

// Report takes over the outcome of an attempt. It never waits; past MaxBufferedReports the outcome is dropped and counted,
// and its key stays pending.
func (l *Loop) Report(m *message.OutcomeReport) {
	l.mu.Lock()
	if len(l.reports) < MaxBufferedReports {
		l.reports = append(l.reports, m)
	} else {
		l.Dropped.Add(1)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop) takeReports() {
	l.mu.Lock()
	list := l.reports
	l.reports = nil
	l.mu.Unlock()
	for _, m := range list {
		l.core.Report(l.clock(), m)
	}
}

// runStore hands store operations to the worker. One that the worker does not take was not done.
func (l *Loop) runStore(ops []claims.Op) {
	for _, op := range ops {
		if l.store != nil && l.store.Submit(op) {
			continue
		}
		l.Dropped.Add(1)
		l.core.Step(l.clock(), StoreDone{&claims.OpResult{ID: op.ID, Shard: op.Shard, Status: claims.OpNotDone}})
	}
}
