package metastore

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
)

// verification is a Verifier between a store and another instance, whose calls take callTime each on its clock.
type verification struct {
	*Verifier
	now    state.Instant
	store  error         // of the store's answers
	age    time.Duration // of the instance's knowledge
	peer   bool          // the other instance has a proof, of age peerAge
	proofs []catalog.Event
	behind []catalog.Revision
}

const (
	callTime     = 30 * time.Millisecond
	peerAge      = 700 * time.Millisecond
	testBound    = 3 * time.Second
	verifierTime = state.Instant(time.Hour)
)

// Send collects the proofs.
func (v *verification) Send(_ context.Context, ev catalog.Event) { v.proofs = append(v.proofs, ev) }

func newVerification() *verification {
	v := &verification{now: verifierTime}
	v.Verifier = NewVerifier(VerifierOptions{
		Bound: func() time.Duration { return testBound }, Clock: func() state.Instant { return v.now }, Sink: v,
		Store: func(context.Context) (catalog.Revision, error) {
			v.now = v.now.Add(callTime)
			return catalog.Revision{Number: 7}, v.store
		},
		Peer: func(context.Context) (catalog.Revision, time.Duration, bool) {
			v.now = v.now.Add(callTime)
			return catalog.Revision{Number: 8}, peerAge, v.peer
		},
		Age: func() time.Duration { return v.age }, Behind: func(r catalog.Revision) { v.behind = append(v.behind, r) },
		Log: hclog.NewNullLogger(),
	})
	return v
}

// Guards against a proof that is dated later than the begin of the call: the store may have changed after it read its revision.
func TestProofIsDatedToTheBeginOfTheCall(t *testing.T) {
	g := NewWithT(t)
	v := newVerification()
	v.verify(context.Background(), testBound)
	g.Expect(v.proofs).To(Equal([]catalog.Event{catalog.Verified{At: verifierTime, Revision: catalog.Revision{Number: 7}}}))
	v.store, v.peer = errors.New("no answer"), true
	begin := v.now.Add(callTime) // the call to the store comes first
	v.verify(context.Background(), testBound)
	g.Expect(v.proofs[1:]).To(Equal([]catalog.Event{catalog.Verified{At: begin.Add(-peerAge), Revision: catalog.Revision{Number: 8}}}))
	v.peer = false
	v.verify(context.Background(), testBound)
	g.Expect(v.proofs).To(HaveLen(2))
	g.Expect(v.Stats.Failed.Load()).To(BeEquivalentTo(1))
}

// Guards against an instance that refuses requests until its watch ends because that brings nothing, and against listings of the
// store while the instance knows its changes.
func TestInstanceBehindTheStoreIsReported(t *testing.T) {
	g := NewWithT(t)
	v := newVerification()
	v.age = testBound / 2
	v.verify(context.Background(), testBound)
	g.Expect(v.behind).To(BeEmpty())
	for _, age := range []time.Duration{testBound/2 + 1, math.MaxInt64} {
		v.age, v.behind = age, nil
		v.verify(context.Background(), testBound)
		g.Expect(v.behind).To(Equal([]catalog.Revision{{Number: 7}}))
	}
}

// Guards against calls to the store where the settings ask for no proof.
func TestNothingIsVerifiedWithoutABound(t *testing.T) {
	g := NewWithT(t)
	v := newVerification()
	v.opts.Bound = func() time.Duration { return 0 }
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	v.Run(ctx)
	g.Expect(v.proofs).To(BeEmpty())
	g.Expect(v.Stats.Failed.Load()).To(BeZero())
}
