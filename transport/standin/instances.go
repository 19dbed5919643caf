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

// maxInstances bounds the listed instances together with the pending changes.
const maxInstances = 4096

// pendingChange is a change of the list that becomes visible once the lag has passed.
type pendingChange struct {
	at       time.Time // when the change was made
	instance storeapi.Instance
}

// location is the region and failure domain of an address.
type location struct{ region, domain string }

// Instances is the stand-in of the platform's list of instances. Changes become visible after a lag.
type Instances struct {
	mu        sync.Mutex
	visible   []storeapi.Instance
	pending   []pendingChange
	locations map[netip.Addr]location // of all instances that were ever listed
	lag       time.Duration
	extraLag  func() time.Duration // additional lag caused by a fault; may be nil
	now       func() time.Time
}

// NewInstances returns a list whose changes become visible after lag.
func NewInstances(list []storeapi.Instance, lag time.Duration, now func() time.Time) *Instances {
	i := &Instances{lag: lag, now: now, locations: make(map[netip.Addr]location)}
	for _, in := range list {
		i.addLocation(in)
		i.visible = append(i.visible, in)
	}
	return i
}

func (i *Instances) addLocation(in storeapi.Instance) {
	for _, address := range []string{in.CallerAddress, in.FleetAddress} {
		if a, err := netip.ParseAddrPort(address); err == nil {
			i.locations[a.Addr()] = location{in.Region, in.Domain}
		}
	}
}

// Location returns the location of an entry instance by its address, IP:PORT; ok is false for other addresses.
func (i *Instances) Location(remote string) (loc location, ok bool) {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return loc, false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	loc, ok = i.locations[a.Addr().Unmap()]
	return loc, ok
}

// Set changes the status of an instance or adds it, visible after the lag. It returns false when the list is full, the
// name is empty or the status is unknown.
func (i *Instances) Set(in storeapi.Instance) bool {
	if in.Name == "" || (in.Status != StatusLive && in.Status != StatusLeaving && in.Status != StatusRemoved) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.visible)+len(i.pending) >= maxInstances {
		return false
	}
	i.addLocation(in)
	i.pending = append(i.pending, pendingChange{at: i.now(), instance: in})
	return true
}

// List returns a copy of the list, with the changes that are older than the lag.
func (i *Instances) List() []storeapi.Instance {
	lag := i.lag
	if i.extraLag != nil {
		lag += i.extraLag()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	cutoff := i.now().Add(-lag)
	for len(i.pending) > 0 && !i.pending[0].at.After(cutoff) {
		i.apply(i.pending[0].instance)
		i.pending = i.pending[1:]
	}
	return append([]storeapi.Instance{}, i.visible...)
}

// apply makes a change visible. A change without addresses keeps the addresses, region and failure domain of a listed
// instance. The caller holds i.mu.
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
	writeJSON(w, storeapi.InstancesReply{Instances: i.List()})
}

// serveSet marks an instance live, leaving or removed.
func (i *Instances) serveSet(w http.ResponseWriter, r *http.Request) {
	var in storeapi.Instance
	if !decodeBody(w, r, &in) {
		return
	}
	if !i.Set(in) {
		http.Error(w, "name is empty, status is not live, leaving or removed, or the list is full", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
