package state

import (
	"net/netip"
	"time"
)

// Config holds one accepted configuration: the deployment, the operators' lists of customers and plans, and their drains
// and shifts. It is immutable once published; changes are made to a Clone.
type Config struct {
	Revision  Revision
	Author    string
	Nonce     string // distinguishes configurations applied as the same revision: after a lost reply the sender recognises its own
	Regions   []Region
	Links     []Link
	Services  []Service
	Backends  []BackendServer
	Plans     []Plan
	Customers []Customer
	Drains    []Drain
	Shifts    []Shift
}

// Region holds the failure domains and the request limit of a region.
type Region struct {
	Name       RegionName
	Domains    []DomainName
	MaxRunning int // max concurrent requests in the region
}

// Link is a directed network link between two regions and its capacity.
type Link struct {
	From           RegionName
	To             RegionName
	BytesPerSecond int64
}

// ServiceKind determines whether requests of a service may be retried or resumed and whether responses are paced.
type ServiceKind string

const (
	KindLookup     ServiceKind = "lookup"     // short and idempotent; may be retried and hedged
	KindSubmission ServiceKind = "submission" // non-idempotent; runs at most once
	KindDownload   ServiceKind = "download"   // long body, paced, resumed by byte range
	KindStream     ServiceKind = "stream"     // body sent at playback rate, paced, resumed by byte range
)

// Service holds the kind, the reserved rate and the time limits of a service.
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
	Slots          int // max concurrent requests
	MaxConnections int // max connections that it accepts
}

// Plan lists the regions and the service shares that customers of the plan may use.
type Plan struct {
	Name     PlanName
	Regions  []RegionName
	Services []PlanService
}

// PlanService is a plan's share of one service, for each customer of the plan.
type PlanService struct {
	Service       ServiceName
	SharePercent  float64       // guaranteed share of the service's slots in each region of the plan
	BurstPercent  float64       // limit on the share including slots lent by other customers; at least SharePercent
	LatencyTarget time.Duration // promised p99
}

// Customer assigns a customer to a plan.
type Customer struct {
	Name CustomerName
	Plan PlanName
}

// DrainKind is the kind of target that a drain takes out of use.
type DrainKind string

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
	MaxRunning    int // max concurrent requests of the shift in region To
	RampPerSecond int // growth per second of the limit from 0 to MaxRunning; 0 allows MaxRunning immediately
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

// Drained reports whether a drain excludes the backend server, its failure domain or its region from new requests.
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
