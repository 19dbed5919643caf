package metastore

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/coordination/catalog"
	"azurebridge/internal/wait"
	"azurebridge/state"
)

// Times of a Verifier.
const (
	// verificationsPerBound is the number of proofs that a Verifier gets within its bound: one may be lost, and the changes up to
	// another one may still be on the way.
	verificationsPerBound = 4
	// minVerifyInterval bounds the calls of a Verifier with a short bound.
	minVerifyInterval = 200 * time.Millisecond
	// verifyJitter is the part of the interval by which it varies, so that instances that start together do not call together.
	verifyJitter = 0.4
	// idleVerifyInterval is the time between the checks whether a Verifier without a bound has got one.
	idleVerifyInterval = time.Second
	// storeVerifyTimeout and peerVerifyTimeout bound the calls for one proof: the store answers within milliseconds.
	storeVerifyTimeout = 400 * time.Millisecond
	peerVerifyTimeout  = 400 * time.Millisecond
)

// VerifierOptions are the inputs of a Verifier.
type VerifierOptions struct {
	// Bound returns the age up to which the instance's knowledge of the store must be verified; 0 when it need not be.
	Bound func() time.Duration
	Clock func() state.Instant
	Sink  EventSink
	// Store returns the store's current revision.
	Store func(ctx context.Context) (catalog.Revision, error)
	// Peer returns the revision and the age of another instance's last proof, or false without one. It is called when the store
	// does not answer.
	Peer func(ctx context.Context) (catalog.Revision, time.Duration, bool)
	// Age returns the age of the instance's knowledge.
	Age func() time.Duration
	// Behind is called with the store's revision when the knowledge is older than half the bound. It must not block.
	Behind func(catalog.Revision)
	Log    hclog.Logger
}

// Verifier proves, some times within the bound, that the instance knows all changes of the store. Watches and relays do not prove
// it: they may bring nothing although there are changes.
type Verifier struct {
	opts  VerifierOptions
	Stats VerifierStats

	unverified bool // the last attempt has failed
}

// VerifierStats counts a Verifier's proofs.
type VerifierStats struct {
	ByStore atomic.Uint64
	ByPeer  atomic.Uint64
	Failed  atomic.Uint64 // attempts without a proof
}

// NewVerifier returns a Verifier; Run starts it.
func NewVerifier(opts VerifierOptions) *Verifier { return &Verifier{opts: opts} }

// Run gets proofs until ctx ends.
func (v *Verifier) Run(ctx context.Context) {
	for {
		bound := v.opts.Bound()
		pause := idleVerifyInterval
		if bound > 0 {
			v.verify(ctx, bound)
			pause = max(minVerifyInterval, bound/verificationsPerBound)
			pause += time.Duration(verifyJitter * float64(pause) * (rand.Float64() - 0.5))
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// verify gets one proof from the store or else from another instance, and sends it to the control goroutine.
func (v *Verifier) verify(ctx context.Context, bound time.Duration) {
	proof, err := v.askStore(ctx)
	if err == nil {
		v.Stats.ByStore.Add(1)
		v.report(ctx, proof)
		if v.opts.Age() > bound/2 {
			v.opts.Behind(proof.Revision) // the watch or the relays may bring nothing
		}
		return
	}
	call, cancel := context.WithTimeout(ctx, peerVerifyTimeout)
	defer cancel()
	start := v.opts.Clock()
	if revision, age, ok := v.opts.Peer(call); ok {
		v.Stats.ByPeer.Add(1)
		v.report(ctx, catalog.Verified{At: start.Add(-max(0, age)), Revision: revision})
		return
	}
	v.Stats.Failed.Add(1)
	if !v.unverified && ctx.Err() == nil {
		v.unverified = true
		v.opts.Log.Warn("knowledge of the store cannot be verified", "error", err.Error())
	}
}

func (v *Verifier) askStore(ctx context.Context) (catalog.Verified, error) {
	ctx, cancel := context.WithTimeout(ctx, storeVerifyTimeout)
	defer cancel()
	start := v.opts.Clock() // the answer tells of this instant at least
	revision, err := v.opts.Store(ctx)
	return catalog.Verified{At: start, Revision: revision}, err
}

func (v *Verifier) report(ctx context.Context, proof catalog.Verified) {
	if v.unverified {
		v.unverified = false
		v.opts.Log.Info("knowledge of the store is verified again")
	}
	v.opts.Sink.Send(ctx, proof)
}
