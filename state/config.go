package state

import (
	"net/netip"
	"time"
)

// Config is one accepted configuration: the deployment, the two operators' lists (customers and plans), and the
// operators' drains and shifts. A Config is never changed after it has been published; changes work on a Clone.
type Config struct {
	Revision  Revision
	Author    string
	Nonce     string // distinguishes two applies of the same revision, to settle an apply whose reply was lost
	Regions   []Region
	Links     []Link
	Services  []Service
	Backends  []BackendServer
	Plans     []Plan
	Customers []Customer
	Drains    []Drain
	Shifts    []Shift
}

// Region is a region and its limit.
type Region struct {
	Name       RegionName
	Domains    []DomainName
	MaxRunning int // limit on requests running in the region at once
}

// Link is the connection from one region to another, in one direction.
type Link struct {
	From           RegionName
	To             RegionName
	BytesPerSecond int64
}

// ServiceKind says how requests of a service may be treated.
type ServiceKind string

// The kinds of service.
const (
	KindLookup     ServiceKind = "lookup"     // short and idempotent; may be retried and hedged
	KindSubmission ServiceKind = "submission" // non-idempotent; runs at most once
	KindDownload   ServiceKind = "download"   // long body, paced, resumed by byte range
	KindStream     ServiceKind = "stream"     // body sent at playing speed, paced, resumed by byte range
)

// Service is a service and its bounds.
type Service struct {
	Name             ServiceName
	Kind             ServiceKind
	BytesPerSecond   int64         // rate reserved for one response body; 0 for short answers that are not paced
	FirstByteTimeout time.Duration // longest wait for the response header
	Deadline         time.Duration // longest time for a whole request; 0 means no limit
	QueueTimeout     time.Duration // longest wait for a slot
}

// BackendServer is a backend server of one service.
type BackendServer struct {
	Name           BackendName
	Service        ServiceName
	Address        netip.AddrPort
	Region         RegionName
	Domain         DomainName
	Slots          int // requests it runs at once
	MaxConnections int // connections it accepts
}

// Plan is what a plan may use.
type Plan struct {
	Name     PlanName
	Regions  []RegionName
	Services []PlanService
}

// PlanService is a plan's share of one service, for each customer of the plan.
type PlanService struct {
	Service       ServiceName
	SharePercent  float64       // guaranteed share of the service's slots in each region of the plan
	BurstPercent  float64       // limit on the share, with lent capacity; at least SharePercent
	LatencyTarget time.Duration // promised p99
}

// Customer is a customer and its plan.
type Customer struct {
	Name CustomerName
	Plan PlanName
}

// DrainKind says what a drain empties.
type DrainKind string

// The kinds of drain.
const (
	DrainBackend DrainKind = "backend"
	DrainDomain  DrainKind = "domain"
	DrainRegion  DrainKind = "region"
)

// Drain takes a backend server, a failure domain or a region out of use for new requests.
type Drain struct {
	Kind DrainKind
	Name string
}

// Shift is an operator's cap on traffic that is moved from one region to another.
type Shift struct {
	Name          ShiftName
	From          RegionName
	To            RegionName
	MaxRunning    int // cap on requests of the shift that run at once in region To
	RampPerSecond int // how fast the allowed number grows from 0 to MaxRunning; 0 allows MaxRunning at once
}

// Clone returns a copy that shares no slice with c.
func (c *Config) Clone() *Config {
	n := *c
	n.Regions = append([]Region(nil), c.Regions...)
	for i := range n.Regions {
		n.Regions[i].Domains = append([]DomainName(nil), c.Regions[i].Domains...)
	}
	n.Links = append([]Link(nil), c.Links...)
	n.Services = append([]Service(nil), c.Services...)
	n.Backends = append([]BackendServer(nil), c.Backends...)
	n.Plans = append([]Plan(nil), c.Plans...)
	for i := range n.Plans {
		n.Plans[i].Regions = append([]RegionName(nil), c.Plans[i].Regions...)
		n.Plans[i].Services = append([]PlanService(nil), c.Plans[i].Services...)
	}
	n.Customers = append([]Customer(nil), c.Customers...)
	n.Drains = append([]Drain(nil), c.Drains...)
	n.Shifts = append([]Shift(nil), c.Shifts...)
	return &n
}

// Drained reports whether new requests must not go to the backend server.
func (c *Config) Drained(b *BackendServer) bool {
	for _, d := range c.Drains {
		switch d.Kind {
		case DrainBackend:
			if d.Name == string(b.Name) {
				return true
			}
		case DrainDomain:
			if d.Name == string(b.Domain) {
				return true
			}
		case DrainRegion:
			if d.Name == string(b.Region) {
				return true
			}
		}
	}
	return false
}

// RegionDrained reports whether the whole region is drained.
func (c *Config) RegionDrained(name RegionName) bool {
	for _, d := range c.Drains {
		if d.Kind == DrainRegion && d.Name == string(name) {
			return true
		}
	}
	return false
}
