// Package catalog holds the control state of an instance on a platform whose store holds the facts: the routing table in
// force, the backend servers, the evacuated failure domains and the other instances. Core turns facts read from the store
// into an immutable View; Loop runs it on the one control goroutine. The package does no I/O.
package catalog

import (
	"time"

	"azurebridge/coordination/quota"
	"azurebridge/state"
)

// Fact is the decoded value of one store item: *routing.Table, *routing.Backend, Evacuation, *routing.Peer or FleetKey.
// Between instances a *routing.TableChange may replace a table; the core gets tables only. The ColdUntil of a backend server
// is the time left, measured from zero; the core converts it to an instant.
type Fact any

// Evacuation asks that the backend servers of a failure domain get no requests.
type Evacuation struct {
	Domain state.DomainName
}

// FleetKey is the secret that signs messages between instances.
type FleetKey []byte

// Item is the state of one key of the store. A nil Fact means that the key was deleted or that its value is unusable.
type Item struct {
	Key  string
	Fact Fact
}

// Source is where facts come from.
type Source int

const (
	FromListing  Source = iota // a listing of the store
	FromWatch                  // a watch of the store
	FromReader                 // the relay of a reader, an instance that watches the store for others
	FromInstance               // the complete state of another instance
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

// Changed holds the changes after the revision After, up to and including Revision.
type Changed struct {
	Source          Source
	After, Revision Revision
	Items           []Item
}

// StoreLost reports that the store did not answer a call that it otherwise answers at once.
type StoreLost struct{}

// WatchInterrupted reports that a watch ended early or was not answered. The store may work nevertheless.
type WatchInterrupted struct{}

// StoreRecovered reports that the store has answered a listing or a watch, or that a reader relays its changes.
type StoreRecovered struct{}

// LeaseRenewed reports that the store has answered a renewal of the instance's lease.
type LeaseRenewed struct{}

// Observed is the outcome of one exchange with a backend server, as seen by a traffic goroutine.
type Observed struct {
	Server  state.BackendName
	Outcome Outcome
}

// LimitNamed reports that a backend server has begun to name a limit, has changed it, or names none any more. The limit itself is
// in the server's gauge.
type LimitNamed struct{}

// LimitEnded reports that another instance has seen the limit of a process of a backend server end.
type LimitEnded struct {
	Server state.BackendName
	Born   int64 // start of the process, as in routing.Backend
}

// Collect requests the store content that the core knows. Reply must be buffered, because the core must not block.
type Collect struct{ Reply chan<- StoreContent }

// StoreContent is the content of the store as an instance knows it, up to a revision.
type StoreContent struct {
	Revision Revision
	Items    []Item
}

// Limits replaces the limits in force.
type Limits struct {
	Cold      quota.ColdLimit
	Customers quota.CustomerBound
}

// AskPermits requests permits of a customer from this instance. Answer is called on the control goroutine and must not block.
type AskPermits struct {
	Ask    quota.Ask
	Apart  bool          // whether the store does not answer the asking instance
	Away   time.Duration // since the store last answered this instance
	Answer func(quota.Granted)
}

// HeardApart reports a message of an instance that the store does not answer.
type HeardApart struct{ From state.InstanceName }

// ContactChecked states how long ago the store last answered this instance.
type ContactChecked struct{ Away time.Duration }

// CollectBuckets requests the state of the buckets of customers. Reply must be buffered, because the core must not block.
type CollectBuckets struct{ Reply chan<- []quota.BucketState }

// Stopping reports that the process has begun its planned stop.
type Stopping struct{}

func (Listed) event()           {}
func (Changed) event()          {}
func (StoreLost) event()        {}
func (WatchInterrupted) event() {}
func (LeaseRenewed) event()     {}
func (StoreRecovered) event()   {}
func (Observed) event()         {}
func (LimitNamed) event()       {}
func (LimitEnded) event()       {}
func (Collect) event()          {}
func (Limits) event()           {}
func (Stopping) event()         {}
func (AskPermits) event()       {}
func (HeardApart) event()       {}
func (ContactChecked) event()   {}
func (CollectBuckets) event()   {}

// Outcome is how an exchange with a backend server ended.
type Outcome int

const (
	Answered    Outcome = iota // a complete response without a failure
	Failed                     // a failure reported by the server, or a truncated response
	Refused                    // not run: the server has no free capacity
	Replaced                   // another server has the address
	Unreachable                // no connection could be opened
	Broken                     // the connection ended or timed out during the exchange
)

// String returns the outcome's name in log lines.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "refused", "gone", "unreachable", "broken"}[o]
}
