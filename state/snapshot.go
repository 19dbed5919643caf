package state

import "github.com/cespare/xxhash/v2"

// InstanceStatus is the state of an instance as far as this process knows.
type InstanceStatus string

const (
	InstanceLive    InstanceStatus = "live"
	InstanceLeaving InstanceStatus = "leaving" // finishes its requests and takes no new callers
	InstanceSuspect InstanceStatus = "suspect" // no direct evidence of life within the heartbeat timeout
	InstanceDead    InstanceStatus = "dead"
)

// Instance describes an entry instance of the fleet.
type Instance struct {
	Name          InstanceName
	Incarnation   Incarnation
	Region        RegionName
	Domain        DomainName
	CallerAddress string // host:port where callers send requests
	FleetAddress  string // host:port of the QUIC listener for other instances
	// OperatorsAddress is host:port of the operators' interface. It is open as long as the process runs.
	OperatorsAddress string
	Status           InstanceStatus
}

// Index holds look-up tables that are derived from a Config.
type Index struct {
	Service  map[ServiceName]*Service
	Region   map[RegionName]*Region
	Plan     map[PlanName]*Plan
	Customer map[CustomerName]*Plan
	Backend  map[BackendName]*BackendServer
}

// NewIndex builds the tables. They point into c, which must not change afterwards.
func NewIndex(c *Config) *Index {
	x := &Index{
		Service:  make(map[ServiceName]*Service, len(c.Services)),
		Region:   make(map[RegionName]*Region, len(c.Regions)),
		Plan:     make(map[PlanName]*Plan, len(c.Plans)),
		Customer: make(map[CustomerName]*Plan, len(c.Customers)),
		Backend:  make(map[BackendName]*BackendServer, len(c.Backends)),
	}
	for i := range c.Services {
		x.Service[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Regions {
		x.Region[c.Regions[i].Name] = &c.Regions[i]
	}
	for i := range c.Plans {
		x.Plan[c.Plans[i].Name] = &c.Plans[i]
	}
	for _, cu := range c.Customers {
		x.Customer[cu.Name] = x.Plan[cu.Plan]
	}
	for i := range c.Backends {
		x.Backend[c.Backends[i].Name] = &c.Backends[i]
	}
	return x
}

// Snapshot is the view that traffic goroutines read. The control goroutine publishes a new one after each change and
// never modifies one that it has published.
type Snapshot struct {
	Self      Instance
	Config    *Config
	Index     *Index
	Instances []Instance // all known instances, ordered by name
	Live      LiveIndex  // index of Instances; nil when not built
	Loads     map[RegionName]RegionLoad
	Leaving   bool // this instance is stopping: look-ups no longer return it
}

// Hash returns a hash of the instance's name, for rendezvous hashing.
func (in *Instance) Hash() uint64 { return xxhash.Sum64String(string(in.Name)) }

// FleetAddress returns the address at which other instances reach the named one.
func (s *Snapshot) FleetAddress(name InstanceName) (string, bool) {
	for i := range s.Instances {
		if s.Instances[i].Name == name {
			return s.Instances[i].FleetAddress, true
		}
	}
	return "", false
}
