package state

import "time"

// RegionLoad is the load of one region as its home last reported it.
type RegionLoad struct {
	Region     RegionName
	Home       InstanceName
	Epoch      uint64
	Running    int
	MaxRunning int
	Services   []ServiceLoad
	Links      []LinkLoad  // outgoing links
	Shifts     []ShiftLoad // into the region
	ReportedAt Instant     // when the report arrived, on the receiving process's clock
}

// ServiceLoad is the load of one service in one region.
type ServiceLoad struct {
	Service    ServiceName
	Slots      int // slots of backend servers that take new requests
	Running    int
	Queued     int
	ServiceP50 time.Duration // median time that a slot is held; 0 when unknown
	HoldTime   time.Duration // smoothed mean time that a slot is held; 0 when unknown
	Ejected    int           // backend servers that take no new requests because requests to them failed
	Slow       int           // backend servers that get only probe requests because they are much slower than the others
	Customers  []CustomerLoad
}

// CustomerLoad is the use of one service by one customer in one region.
type CustomerLoad struct {
	Customer   CustomerName
	Running    int
	Queued     int
	Guaranteed int // slots that the plan guarantees
	Burst      int // limit on running requests including lent slots
	Refused    []RefusalCount
}

// RefusalCount counts refusals for one reason since the home took over.
type RefusalCount struct {
	Reason string
	Count  uint64
}

// LinkLoad is the use of one directed link that leaves the region.
type LinkLoad struct {
	To       RegionName
	Reserved int64 // bytes per second
	Capacity int64 // bytes per second; 0 means no limit
}

// ShiftLoad is the use of an operator's shift into the region.
type ShiftLoad struct {
	Shift   ShiftName
	Running int
	Allowed int // current limit, which the ramp raises to Max
	Max     int
}
