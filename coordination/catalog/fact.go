// Package catalog is the control state of an instance on a platform that keeps the facts: the routing table in force, the
// backend servers, the evacuated failure domains and the other instances. Core turns facts read from the store into an
// immutable View; Loop runs it on the one control goroutine. It does no I/O.
package catalog

import (
	"azurebridge/coordination/quota"
	"azurebridge/state"
)

// Fact is what one item of the store says: *routing.Table, *routing.Backend, Evacuation, *routing.Peer or FleetKey. Between
// instances a *routing.TableChange may stand for a table; the core gets tables only. The ColdUntil of a backend server is
// measured from zero and becomes an instant when the fact arrives.
type Fact any

// Evacuation asks that the backend servers of a failure domain get no requests.
type Evacuation struct {
	Domain state.DomainName
}

// FleetKey is the secret that signs messages between instances.
type FleetKey []byte

// Item is the state of one key of the store. A nil Fact means that the key is gone or names nothing usable.
type Item struct {
	Key  string
	Fact Fact
}

// Revision numbers the changes of the store.
type Revision uint64

// Source is where facts come from.
type Source int

// Sources of facts.
const (
	FromListing  Source = iota // a listing of the store
	FromWatch                  // a watch of the store
	FromReader                 // the relay of an instance that reads the store
	FromInstance               // all that another instance knows
)

// String returns the source's name in log lines.
func (s Source) String() string {
	return [...]string{"listing", "watch", "reader", "instance"}[s]
}

// Event is an input of the core.
type Event interface{ event() }

// Listed is the complete content of the store, at least as new as a revision.
type Listed struct {
	Source   Source
	Revision Revision
	Items    []Item
}

// Changed is what has changed after one revision, up to another.
type Changed struct {
	Source          Source
	After, Revision Revision
	Items           []Item
}

// StoreLost says that the store does not answer this instance.
type StoreLost struct{}

// StoreRegained says that the store answers again.
type StoreRegained struct{}

// Observed is the outcome of one exchange with a backend server, as seen by a traffic goroutine.
type Observed struct {
	Server  state.BackendName
	Outcome Outcome
}

// Collect asks for all that the core knows of the store. The core answers at once; Reply has room for the answer.
type Collect struct{ Reply chan<- Known }

// Known is all that an instance knows of the store, up to a revision.
type Known struct {
	Revision Revision
	Items    []Item
}

// Limits are the limits in force from now on.
type Limits struct {
	Cold quota.ColdLimit
}

// Stopping says that the process has begun its planned stop.
type Stopping struct{}

func (Listed) event()        {}
func (Changed) event()       {}
func (StoreLost) event()     {}
func (StoreRegained) event() {}
func (Observed) event()      {}
func (Collect) event()       {}
func (Limits) event()        {}
func (Stopping) event()      {}

// Outcome is how an exchange with a backend server ended.
type Outcome int

// Outcomes of exchanges.
const (
	Answered    Outcome = iota // a whole answer that is not a failure
	Failed                     // a failure by the server, or an answer that is not whole
	Refused                    // not run: the server has no room
	Gone                       // another server has the address
	Unreachable                // no connection could be opened
	Broken                     // the connection ended or went silent during the exchange
)

// String returns the outcome's name in log lines.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "gone", "unreachable", "broken"}[o]
}
