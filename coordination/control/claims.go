package control

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/claims"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

// MaxBufferedReports bounds the outcomes that wait for the control goroutine.
const MaxBufferedReports = 8192

// reportPoll is the time between checks whether outcomes are still unacknowledged.
const reportPoll = 50 * time.Millisecond

// Claim asks for the right to send a submission with an idempotency key.
type Claim struct {
	Request *message.ClaimRequest
	Waiter  claims.Waiter
}

// StoreDone is the event that delivers the result of a claim's store operation.
type StoreDone struct{ Result *claims.OpResult }

func (Claim) event()     {}
func (StoreDone) event() {}

// ClaimStore carries out the store operations of claims. Submit must not block; it returns false when its queue is full.
type ClaimStore interface {
	Submit(op claims.Op) bool
}

// claimCores holds the client and the writer of idempotency-key claims, and the writer of each shard.
type claimCores struct {
	client    *claims.Client
	writer    *claims.Writer
	writers   [claims.Shards]state.InstanceName
	instances []state.Instance // list that writers was computed from
}

func (c *Core) initClaims() {
	c.claims = claimCores{client: claims.NewClient(c.writerOf), writer: claims.NewWriter(claims.NewNonce)}
}

// writerOf returns the live instance with the highest rendezvous score for a shard.
func (c *Core) writerOf(s claims.Shard) state.InstanceName {
	if !sameSlice(c.claims.instances, c.table.Instances()) {
		c.rankWriters()
	}
	return c.claims.writers[s]
}

// sameSlice reports whether a and b are the same slice. The membership table never changes a list in place, so equal slices
// have equal contents.
func sameSlice(a, b []state.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// rankWriters chooses the writers of all shards.
func (c *Core) rankWriters() {
	instances := c.table.Instances()
	c.claims.instances = instances
	for s := range c.claims.writers {
		key := "claims/" + strconv.Itoa(s)
		var best state.InstanceName
		var bestScore uint64
		for i := range instances {
			in := &instances[i]
			if in.Status != state.InstanceLive {
				continue
			}
			if score := state.RendezvousScore(key, string(in.Name)); best == "" || score > bestScore {
				best, bestScore = in.Name, score
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

// Report passes the outcome of an attempt to the claim client, which sends it until a writer acknowledges it.
func (c *Core) Report(now state.Instant, m *message.OutcomeReport) { c.claims.client.Report(now, m) }

func (c *Core) tickClaims(now state.Instant) {
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
			c.send([]admission.Outbound{admission.Outbound(o)})
		}
	}
	c.ready.Claims = append(c.ready.Claims, c.claims.writer.TakeOps()...)
}

// UseClaimStore sets the worker for the store operations of claims. It must be called before Run.
func (l *Loop) UseClaimStore(w ClaimStore) { l.claims = w }

// Report queues the outcome of an attempt for the control goroutine without blocking. When MaxBufferedReports are queued,
// the outcome is dropped and counted in Dropped, and its key stays pending.
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

// AwaitReports waits until the reported outcomes are in the claim log, or returns an error when ctx ends. A planned stop
// calls it because a lost outcome leaves its key pending.
func (l *Loop) AwaitReports(ctx context.Context) error {
	ticker := time.NewTicker(reportPoll)
	defer ticker.Stop()
	for {
		unacknowledged := make(chan int, 1)
		if l.Offer(Inspect{Done: func(d *Dump) { unacknowledged <- d.Outcomes }}) == nil {
			select {
			case n := <-unacknowledged:
				if n == 0 {
					return nil
				}
			case <-ctx.Done():
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for reported outcomes to be recorded")
		}
	}
}

func (l *Loop) flushReports() {
	l.mu.Lock()
	list := l.reports
	l.reports = nil
	l.mu.Unlock()
	for _, m := range list {
		l.core.Report(l.clock(), m)
	}
}

// runClaims submits store operations to the worker. An operation that the worker does not accept is answered at once with
// claims.OpNotDone.
func (l *Loop) runClaims(ops []claims.Op) {
	for _, op := range ops {
		if l.claims != nil && l.claims.Submit(op) {
			continue
		}
		l.Dropped.Add(1)
		l.core.Step(l.clock(), StoreDone{&claims.OpResult{ID: op.ID, Shard: op.Shard, Status: claims.OpNotDone}})
	}
}
