// Package admission decides which requests may run in a region and on which backend server.
//
// A grant is the right to run one request on one backend server while the grant's lease lasts. Home counts every limit
// of one region in one place, so that all instances together never exceed a limit. Holder is the client side on an
// entry instance: it asks homes for grants, renews those in use, and cancels the requests whose grants it could not
// renew. Neither does I/O: both take typed messages and the current time, and return messages to send.
package admission

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Time bounds of grants.
const (
	// GrantLease is how long a holder may use its grants after it sent the last renewal that the home confirmed.
	GrantLease = time.Second
	// GrantMargin is added to GrantLease before the home treats a grant as expired. It covers clock drift of 10%.
	GrantMargin = GrantLease / 10
	// FenceLead is how long before the end of the lease a holder cancels requests, so that a tick of the control loop
	// that is up to two intervals late still cancels in time.
	FenceLead = 50 * time.Millisecond
	// RenewInterval is the time between renewals of held grants.
	RenewInterval = 200 * time.Millisecond
	// GrantTimeout is how long an instance waits for a home's reply, in addition to the queue time that it asked for.
	GrantTimeout = 250 * time.Millisecond
	// ResendInterval is the time after which an unanswered request is sent again. Homes detect duplicates.
	ResendInterval = 250 * time.Millisecond
)

// Bounds of a home's queues, per service.
const (
	MaxQueued            = 4096 // waiting requests
	MaxQueuedPerCustomer = 256  // waiting requests of one customer
	MaxLanes             = 64   // lanes of one customer; a lane queues requests that are subject to the same limits
	MaxExamined          = 64   // customers examined when one slot becomes free
)

// Bounds of a holder.
const (
	MaxPending = 4096 // Asks that wait for a home's reply
	MaxUnsent  = 1024 // queued releases of one region; beyond it, the next renewal frees the grants
	MaxHeld    = message.MaxHeldGrants
)

// maxClockRatio is the max speed of a home's clock relative to a holder's clock.
const maxClockRatio = 1.1

// Outbound is a message to send.
type Outbound struct {
	To   state.InstanceName
	Body message.Body
}
