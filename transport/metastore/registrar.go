package metastore

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/internal/wait"
)

// Times of the registration.
const (
	// EntryTTL is how long an unresponsive instance stays listed.
	EntryTTL = 3500 * time.Millisecond
	// renewInterval lets the lease survive two lost renewals.
	renewInterval = 1100 * time.Millisecond
	callTimeout   = 800 * time.Millisecond
)

// Registrar keeps this instance's entry in the store while the instance accepts requests. Its regular calls also detect an
// unavailable store while a watch waits.
type Registrar struct {
	store    Store
	sink     EventSink
	contact  *Contact
	regained func() // called when the store answers again after a failure
	log      hclog.Logger

	mu      sync.Mutex
	lease   LeaseID // number 0 without one
	stopped bool
}

// NewRegistrar returns a Registrar; Run starts it. It sends catalog.StoreLost to sink when the store stops answering and
// catalog.LeaseRenewed while it answers, marks contact at each answer, and calls regained when the store answers again.
func NewRegistrar(store Store, sink EventSink, contact *Contact, regained func(), log hclog.Logger) *Registrar {
	return &Registrar{store: store, sink: sink, contact: contact, regained: regained, log: log}
}

// Run registers the instance and renews its lease until ctx ends or Leave is called.
func (r *Registrar) Run(ctx context.Context) {
	registered, storeLost := false, false
	for {
		err := r.renewOrRegister(ctx, &registered)
		if err != nil && ctx.Err() == nil && !r.hasLeft() {
			r.log.Warn("entry in the store not renewed", "error", err.Error())
		}
		answered := err == nil || errors.Is(err, ErrNoLease)
		if answered {
			r.contact.MarkCall()
		}
		switch {
		case answered && storeLost:
			storeLost = false
			r.regained()
		case answered:
			// Not at the first answer after a failure: the listing that it requests shows first which servers have registered again.
			r.sink.Send(ctx, catalog.LeaseRenewed{})
		case !answered && !storeLost:
			storeLost = true
			r.sink.Send(ctx, catalog.StoreLost{})
		}
		pause := renewInterval
		if !registered {
			pause = renewInterval / 4
		}
		if r.hasLeft() || !wait.For(ctx, pause) {
			return
		}
	}
}

// renewOrRegister renews the lease of a registered instance. Otherwise it creates a lease and registers the instance under it.
func (r *Registrar) renewOrRegister(ctx context.Context, registered *bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *registered {
		err := r.store.Renew(ctx, r.lease)
		if errors.Is(err, ErrNoLease) {
			*registered = false
		}
		return err
	}
	lease, _, err := r.store.Grant(ctx, EntryTTL)
	if err != nil {
		return err
	}
	if !r.setLease(lease) {
		return r.store.Revoke(ctx, lease)
	}
	if err := r.store.Register(ctx, lease); err != nil {
		return err
	}
	*registered = true
	r.log.Info("instance registered", "lease", lease.Number, "era", lease.Era)
	return nil
}

// setLease stores the lease. It returns false when Leave has been called meanwhile.
func (r *Registrar) setLease(lease LeaseID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
	return !r.stopped
}

// hasLeft reports whether Leave has been called.
func (r *Registrar) hasLeft() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// Leave removes the entry, so that callers are no longer directed to this instance, and ends Run.
func (r *Registrar) Leave(ctx context.Context) {
	r.mu.Lock()
	lease := r.lease
	r.stopped = true
	r.mu.Unlock()
	if lease.Number == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil && !errors.Is(err, ErrNoLease) {
		r.log.Warn("entry in the store not removed; it expires with its lease", "error", err.Error())
	}
}
