// Package admission decides which requests may run in a region and on which backend server.
//
// Home counts every limit of one region at one place, so that the sum of what instances use stays at or under each
// limit. Holder is the other side: it asks homes for grants, keeps those that the instance uses, and cancels the
// requests of grants that it can no longer renew. Both are cores without I/O: they take typed messages and the
// current time, and return messages to send.
package admission

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Time bounds of grants.
const (
	// GrantLease is how long a holder may use its grants after it sent the last confirmed renewal.
	GrantLease = time.Second
	// GrantMargin is added by the home before it frees grants that were not renewed. It covers clock drift of 10%.
	GrantMargin = GrantLease / 10
	// FenceLead is how long before the end of the lease a holder cancels requests, so that a tick of the control loop
	// that comes late by up to two intervals still cancels in time.
	FenceLead = 50 * time.Millisecond
	// RenewInterval is the time between renewals of held grants.
	RenewInterval = 200 * time.Millisecond
	// GrantTimeout is how long an instance waits for a home's answer beyond the queue wait that it asked for.
	GrantTimeout = 250 * time.Millisecond
	// ResendInterval is the time after which an unanswered request is sent again. Homes recognise repeated requests.
	ResendInterval = 250 * time.Millisecond
)

// Bounds of a home's queues, per service.
const (
	MaxQueued            = 4096 // waiting requests
	MaxQueuedPerCustomer = 256  // waiting requests of one customer
	MaxLanes             = 64   // lanes of one customer; a lane holds requests that meet the same limits
	MaxExamined          = 64   // customers examined when one slot becomes free
)

// Bounds of a holder.
const (
	MaxPending = 4096 // asks that wait for a home
	MaxUnsent  = 1024 // releases of one region that wait for a home; later ones are left to the next renewal
	MaxHeld    = message.MaxHeldGrants
)

// clockExcess is the fastest clock of a home relative to a holder's clock.
const clockExcess = 1.1

// Outbound is a message to send.
type Outbound struct {
	To   state.InstanceName
	Body message.Body
}
