package claims_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/claims"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

type waiterFunc func(*message.ClaimReply) bool

func (f waiterFunc) Claimed(r *message.ClaimReply) bool { return f(r) }

// Guards against dispatch under a grant whose record may have expired while the instance was paused.
func TestLateGrantIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	c := claims.NewClient(func(claims.Shard) state.InstanceName { return "w" })
	req := &message.ClaimRequest{Attempt: message.AttemptID{1}}
	var got message.ClaimStatus
	c.Claim(0, req, waiterFunc(func(r *message.ClaimReply) bool { got = r.Status; return true }))
	c.TakeOutbound()
	late := state.Instant(0).Add(claims.ClaimTimeout + time.Millisecond)
	c.Reply(late, &message.ClaimReply{Attempt: req.Attempt, Status: message.ClaimGranted})
	g.Expect(got).To(Equal(message.ClaimUncertain))
	g.Expect(c.TakeOutbound()).To(ConsistOf(HaveField("Body", HaveField("Outcome.Kind", message.OutcomeNotRun))))
}

// Guards against a key that stays pending because its grant arrived after the request had been abandoned.
func TestAbandonedGrantReleasesTheKey(t *testing.T) {
	g := NewWithT(t)
	c := claims.NewClient(func(claims.Shard) state.InstanceName { return "w" })
	req := &message.ClaimRequest{Attempt: message.AttemptID{1}}
	c.Claim(0, req, waiterFunc(func(*message.ClaimReply) bool { return false }))
	c.TakeOutbound()
	c.Reply(0, &message.ClaimReply{Attempt: req.Attempt, Status: message.ClaimGranted})
	g.Expect(c.TakeOutbound()).To(ConsistOf(HaveField("Body", HaveField("Outcome.Kind", message.OutcomeNotRun))))
	c.Tick(state.Instant(0).Add(claims.ReportResend))
	g.Expect(c.TakeOutbound()).To(HaveLen(1), "the outcome is sent until it is acknowledged")
	c.Acknowledge(&message.OutcomeAck{Attempt: req.Attempt})
	c.Tick(state.Instant(0).Add(time.Hour))
	g.Expect(c.TakeOutbound()).To(BeEmpty())
}

// Guards against a numbering that restarts when all records of a shard have expired, and against one store write per
// claim.
func TestEmptyLogContinuesAboveTheHint(t *testing.T) {
	g := NewWithT(t)
	w := claims.NewWriter(claims.NewNonce)
	step := func(r claims.OpResult) claims.Op {
		ops := w.TakeOps()
		g.Expect(ops).To(HaveLen(1))
		r.ID = ops[0].ID
		w.Done(0, &r)
		return ops[0]
	}
	claim := func(n byte) {
		w.Claim(0, "c", &message.ClaimRequest{Key: message.ClaimKey{0, n}, Attempt: message.AttemptID{n}})
	}
	claim(1)
	g.Expect(step(claims.OpResult{Status: claims.OpOK, Hint: 2000, Version: 3}).Kind).To(Equal(claims.OpList))
	g.Expect(step(claims.OpResult{Status: claims.OpOK, Lease: 7}).Kind).To(Equal(claims.OpLease))
	for n := byte(2); n < 50; n++ {
		claim(n)
	}
	g.Expect(step(claims.OpResult{Status: claims.OpOK}).Seq).To(BeEquivalentTo(2001))
	hint := step(claims.OpResult{Status: claims.OpOK, Version: 4})
	g.Expect([]uint64{uint64(hint.Kind), hint.Seq, hint.Version}).To(Equal([]uint64{uint64(claims.OpHint), 2002 + claims.HintStep, 3}))
	batch := step(claims.OpResult{Status: claims.OpOK})
	g.Expect(batch.Seq).To(BeEquivalentTo(2002))
	g.Expect(batch.Record.Entries).To(HaveLen(48))
	g.Expect(w.TakeOutbound()).To(HaveLen(49))
}
