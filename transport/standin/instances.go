package standin

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"azurebridge/protocol/storeapi"
)

// Statuses of an instance in the list.
const (
	StatusLive    = "live"
	StatusLeaving = "leaving"
	StatusRemoved = "removed" // the instance is no longer listed
)

// maxInstances bounds the list.
const maxInstances = 4096

// change is a change of the list that becomes visible after the lag.
type change struct {
	at       time.Time
	instance storeapi.Instance
}

// place is where an address is.
type place struct{ region, domain string }

// Instances is the stand-in of the platform's list of instances, which lags.
type Instances struct {
	mu      sync.Mutex
	visible []storeapi.Instance
	pending []change
	places  map[netip.Addr]place // of all instances that were ever listed
	lag     time.Duration
	extra   func() time.Duration // further lag by a fault
	now     func() time.Time
}

// NewInstances returns a list whose changes become visible after lag.
func NewInstances(list []storeapi.Instance, lag time.Duration, now func() time.Time) *Instances {
	i := &Instances{lag: lag, now: now, places: make(map[netip.Addr]place)}
	for _, in := range list {
		i.locate(in)
		i.visible = append(i.visible, in)
	}
	return i
}

func (i *Instances) locate(in storeapi.Instance) {
	for _, address := range []string{in.CallerAddress, in.FleetAddress} {
		if a, err := netip.ParseAddrPort(address); err == nil {
			i.places[a.Addr()] = place{in.Region, in.Domain}
		}
	}
}

// Place returns the place of an entry instance by its address; ok is false for other addresses.
func (i *Instances) Place(remote string) (p place, ok bool) {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return p, false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	p, ok = i.places[a.Addr().Unmap()]
	return p, ok
}

// Set changes the status of an instance, or adds it. It returns false when the list is full or the status is unknown.
func (i *Instances) Set(in storeapi.Instance) bool {
	if in.Name == "" || (in.Status != StatusLive && in.Status != StatusLeaving && in.Status != StatusRemoved) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.visible)+len(i.pending) >= maxInstances {
		return false
	}
	i.locate(in)
	i.pending = append(i.pending, change{at: i.now(), instance: in})
	return true
}

// List returns the list as it was the lag ago.
func (i *Instances) List() []storeapi.Instance {
	lag := i.lag
	if i.extra != nil {
		lag += i.extra()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	cut := i.now().Add(-lag)
	for len(i.pending) > 0 && !i.pending[0].at.After(cut) {
		i.apply(i.pending[0].instance)
		i.pending = i.pending[1:]
	}
	return append([]storeapi.Instance{}, i.visible...)
}

// apply makes a change visible. Addresses that the change leaves out stay as they are. i.mu is held.
func (i *Instances) apply(in storeapi.Instance) {
	for k := range i.visible {
		old := &i.visible[k]
		if old.Name != in.Name {
			continue
		}
		if in.Status == StatusRemoved {
			i.visible = append(i.visible[:k:k], i.visible[k+1:]...)
			return
		}
		if in.CallerAddress == "" && in.FleetAddress == "" {
			in.Region, in.Domain, in.CallerAddress, in.FleetAddress = old.Region, old.Domain, old.CallerAddress, old.FleetAddress
		}
		*old = in
		return
	}
	if in.Status != StatusRemoved {
		i.visible = append(i.visible, in)
	}
}

// ServeHTTP answers with the list.
func (i *Instances) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	reply(w, storeapi.InstancesReply{Instances: i.List()})
}

// serveSet marks an instance live, leaving or removed.
func (i *Instances) serveSet(w http.ResponseWriter, r *http.Request) {
	var in storeapi.Instance
	if !read(w, r, &in) {
		return
	}
	if !i.Set(in) {
		http.Error(w, "want name and status live, leaving or removed, and room in the list", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
