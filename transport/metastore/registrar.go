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
	// EntryTTL is how long an instance that has gone silent stays listed.
	EntryTTL = 3500 * time.Millisecond
	// renewInterval leaves room for two lost renewals.
	renewInterval = 1100 * time.Millisecond
	callTimeout   = 800 * time.Millisecond
)

// Registrar keeps this instance's entry in the store while the instance takes requests. Its regular calls also find out
// that the store is away while a watch waits.
type Registrar struct {
	store    Store
	to       Teller
	contact  *Contact
	regained func() // called when the store answers again
	log      hclog.Logger

	mu      sync.Mutex
	lease   LeaseID // 0 without one
	stopped bool
}

// NewRegistrar returns a registrar; Run starts it. It tells to when the store does not answer, marks contact when it does,
// and calls regained when it does again.
func NewRegistrar(store Store, to Teller, contact *Contact, regained func(), log hclog.Logger) *Registrar {
	return &Registrar{store: store, to: to, contact: contact, regained: regained, log: log}
}

// Run registers the instance and renews its lease until ctx ends or Leave is called.
func (r *Registrar) Run(ctx context.Context) {
	registered, away := false, false
	for {
		err := r.step(ctx, &registered)
		if err != nil && ctx.Err() == nil && !r.left() {
			r.log.Warn("entry in the store not renewed", "error", err.Error())
		}
		answered := err == nil || errors.Is(err, ErrNoLease)
		if answered {
			r.contact.Mark()
		}
		switch {
		case answered && away:
			away = false
			r.regained()
		case !answered && !away:
			away = true
			r.to.Tell(ctx, catalog.StoreLost{})
		}
		pause := renewInterval
		if !registered {
			pause = renewInterval / 4
		}
		if r.left() || !wait.For(ctx, pause) {
			return
		}
	}
}

// step renews the lease, or makes a new one and registers under it.
func (r *Registrar) step(ctx context.Context, registered *bool) error {
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
	if !r.hold(lease) {
		return r.store.Revoke(ctx, lease)
	}
	if err := r.store.Register(ctx, lease); err != nil {
		return err
	}
	*registered = true
	r.log.Info("instance registered", "lease", uint64(lease))
	return nil
}

// hold keeps a lease. It returns false when the instance has left meanwhile.
func (r *Registrar) hold(lease LeaseID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = lease
	return !r.stopped
}

func (r *Registrar) left() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// Leave removes the entry, so that callers are no longer sent here.
func (r *Registrar) Leave(ctx context.Context) {
	r.mu.Lock()
	lease := r.lease
	r.stopped = true
	r.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil && !errors.Is(err, ErrNoLease) {
		r.log.Warn("entry not removed; it lapses", "error", err.Error())
	}
}
