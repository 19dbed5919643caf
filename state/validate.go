package state

import (
	"fmt"
	"strings"
	"time"
)

// Bounds of one configuration. They limit the size of what is stored and sent between instances.
const (
	MaxRegions       = 256
	MaxDomains       = 1024 // of all regions together
	MaxLinks         = MaxRegions * (MaxRegions - 1)
	MaxServices      = 1024
	MaxBackends      = 1 << 15
	MaxPlans         = 4096
	MaxCustomers     = 1 << 16
	MaxDrains        = 4096
	MaxShifts        = 1024
	MaxNameLength    = 64 // bytes
	MaxSlots         = 1 << 16
	MaxConnections   = 1 << 20
	MaxRunningLimit  = 1 << 24        // requests
	MaxRate          = int64(1) << 40 // bytes per second
	MaxServiceTime   = 24 * time.Hour
	MaxConfigFaults  = 1000 // faults listed by Validate; the rest is counted
	maxSlotsMultiple = 10   // a region limit above this multiple of the region's slots is taken for a typing error
	shareTolerance   = 1e-6 // percent; absorbs rounding errors in sums of decimal fractions
)

// SectionKind names a list of a Config.
type SectionKind string

const (
	SectionConfig   SectionKind = "configuration" // the configuration as a whole
	SectionRegion   SectionKind = "region"
	SectionLink     SectionKind = "link"
	SectionService  SectionKind = "service"
	SectionBackend  SectionKind = "backend"
	SectionPlan     SectionKind = "plan"
	SectionCustomer SectionKind = "customer"
	SectionDrain    SectionKind = "drain"
	SectionShift    SectionKind = "shift"
)

// Fault is one reason why a configuration cannot be accepted.
type Fault struct {
	Kind   SectionKind
	Name   string // of the entry; `FROM TO` for a link and `KIND NAME` for a drain
	Field  string // field of the entry's type; empty when the whole entry is at fault
	Item   string // entry of a list field, such as the service of a plan
	Reason string
}

// String names section, field and reason.
func (f Fault) String() string {
	where := strings.TrimSpace(string(f.Kind) + " " + f.Name)
	if f.Field != "" {
		where += ", " + strings.TrimSpace(f.Field+" "+f.Item)
	}
	return where + ": " + f.Reason
}

// Faults is the error that lists all faults of a configuration.
type Faults []Fault

// Error lists one fault a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Validate returns all faults of the configuration as Faults, or nil.
func (c *Config) Validate() error {
	v := &validator{c: c, services: map[ServiceName]bool{}, regions: map[RegionName]bool{}, domains: map[DomainName]RegionName{},
		backends: map[BackendName]bool{}, plans: map[PlanName]*Plan{}}
	v.checkCounts()
	v.checkRegions()
	v.checkLinks()
	v.checkServices()
	v.checkBackends()
	v.checkRegionLimits()
	v.checkPlans()
	v.checkCustomers()
	v.checkShareSums()
	v.checkDrains()
	v.checkShifts()
	if v.omitted > 0 {
		v.faults = append(v.faults, Fault{Kind: SectionConfig, Reason: fmt.Sprintf("%d more faults are not listed", v.omitted)})
	}
	if len(v.faults) == 0 {
		return nil
	}
	return v.faults
}

// validator collects faults. Its tables hold the names that other sections may refer to.
type validator struct {
	c        *Config
	faults   Faults
	omitted  int
	regions  map[RegionName]bool
	domains  map[DomainName]RegionName
	services map[ServiceName]bool
	backends map[BackendName]bool
	plans    map[PlanName]*Plan
}

func (v *validator) add(kind SectionKind, name, field, item, format string, args ...any) {
	if len(v.faults) >= MaxConfigFaults {
		v.omitted++
		return
	}
	v.faults = append(v.faults, Fault{kind, name, field, item, fmt.Sprintf(format, args...)})
}

// checkName checks that a name can be used as the name of an INI section and as part of a URL.
func (v *validator) checkName(kind SectionKind, name string) {
	if name == "" || len(name) > MaxNameLength {
		v.add(kind, name, "", "", "a name must have 1 to %d characters", MaxNameLength)
		return
	}
	for _, r := range name {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.') {
			v.add(kind, name, "", "", "%q is not allowed in a name; use letters, digits, '-', '_' and '.'", r)
			return
		}
	}
}

// checkRange checks that n is between minValue and maxValue, both included.
func (v *validator) checkRange(kind SectionKind, name, field string, n, minValue, maxValue int64) {
	if n < minValue || n > maxValue {
		v.add(kind, name, field, "", "%d is not in %d to %d", n, minValue, maxValue)
	}
}

func (v *validator) checkRegionExists(kind SectionKind, name, field string, r RegionName) {
	if !v.regions[r] {
		v.add(kind, name, field, string(r), "unknown region %q", r)
	}
}

func (v *validator) checkServiceExists(kind SectionKind, name, field string, s ServiceName) {
	if !v.services[s] {
		v.add(kind, name, field, string(s), "unknown service %q", s)
	}
}

func (v *validator) checkCounts() {
	domains := 0
	for i := range v.c.Regions {
		domains += len(v.c.Regions[i].Domains)
	}
	for _, n := range []struct {
		kind         SectionKind
		noun         string
		count, limit int
	}{
		{SectionRegion, "regions", len(v.c.Regions), MaxRegions}, {SectionRegion, "failure domains", domains, MaxDomains},
		{SectionLink, "links", len(v.c.Links), MaxLinks}, {SectionService, "services", len(v.c.Services), MaxServices},
		{SectionBackend, "backend servers", len(v.c.Backends), MaxBackends}, {SectionPlan, "plans", len(v.c.Plans), MaxPlans},
		{SectionCustomer, "customers", len(v.c.Customers), MaxCustomers}, {SectionDrain, "drains", len(v.c.Drains), MaxDrains},
		{SectionShift, "shifts", len(v.c.Shifts), MaxShifts},
	} {
		if n.count > n.limit {
			v.add(n.kind, "", "", "", "%d %s, limit is %d", n.count, n.noun, n.limit)
		}
	}
}

func (v *validator) checkRegions() {
	for _, r := range v.c.Regions {
		name := string(r.Name)
		v.checkName(SectionRegion, name)
		if v.regions[r.Name] {
			v.add(SectionRegion, name, "", "", "duplicate region")
		}
		v.regions[r.Name] = true
		v.checkRange(SectionRegion, name, "MaxRunning", int64(r.MaxRunning), 0, MaxRunningLimit)
		if len(r.Domains) == 0 {
			v.add(SectionRegion, name, "Domains", "", "a region needs at least one failure domain")
		}
		for _, d := range r.Domains {
			if other, ok := v.domains[d]; ok {
				v.add(SectionRegion, name, "Domains", string(d), "failure domain %q is already in region %q", d, other)
				continue
			}
			v.checkName(SectionRegion, string(d))
			v.domains[d] = r.Name
		}
	}
}

func (v *validator) checkLinks() {
	type pair struct{ from, to RegionName }
	seen := make(map[pair]bool)
	for _, l := range v.c.Links {
		name := string(l.From) + " " + string(l.To)
		if seen[pair{l.From, l.To}] {
			v.add(SectionLink, name, "", "", "duplicate link")
		}
		seen[pair{l.From, l.To}] = true
		v.checkRegionExists(SectionLink, name, "", l.From)
		v.checkRegionExists(SectionLink, name, "", l.To)
		if l.From == l.To {
			v.add(SectionLink, name, "", "", "a link must connect two different regions")
		}
		v.checkRange(SectionLink, name, "BytesPerSecond", l.BytesPerSecond, 0, MaxRate)
	}
}

func (v *validator) checkServices() {
	for _, s := range v.c.Services {
		name := string(s.Name)
		v.checkName(SectionService, name)
		if v.services[s.Name] {
			v.add(SectionService, name, "", "", "duplicate service")
		}
		v.services[s.Name] = true
		switch s.Kind {
		case KindLookup, KindSubmission, KindDownload, KindStream:
		default:
			v.add(SectionService, name, "Kind", "", "unknown kind %q", s.Kind)
		}
		v.checkRange(SectionService, name, "BytesPerSecond", s.BytesPerSecond, 0, MaxRate)
		v.checkRange(SectionService, name, "FirstByteTimeout", int64(s.FirstByteTimeout), 0, int64(MaxServiceTime))
		v.checkRange(SectionService, name, "Deadline", int64(s.Deadline), 0, int64(MaxServiceTime))
		v.checkRange(SectionService, name, "QueueTimeout", int64(s.QueueTimeout), 0, int64(MaxServiceTime))
	}
}

func (v *validator) checkBackends() {
	addresses := make(map[string]BackendName)
	for _, b := range v.c.Backends {
		name := string(b.Name)
		v.checkName(SectionBackend, name)
		if v.backends[b.Name] {
			v.add(SectionBackend, name, "", "", "duplicate backend server")
		}
		v.backends[b.Name] = true
		v.checkServiceExists(SectionBackend, name, "Service", b.Service)
		v.checkRegionExists(SectionBackend, name, "Region", b.Region)
		if r, ok := v.domains[b.Domain]; !ok {
			v.add(SectionBackend, name, "Domain", "", "unknown failure domain %q", b.Domain)
		} else if r != b.Region && v.regions[b.Region] {
			v.add(SectionBackend, name, "Domain", "", "failure domain %q is in region %q, not in %q", b.Domain, r, b.Region)
		}
		if !b.Address.IsValid() || b.Address.Port() == 0 {
			v.add(SectionBackend, name, "Address", "", "an IP address with port is required")
		} else if other, ok := addresses[b.Address.String()]; ok {
			v.add(SectionBackend, name, "Address", "", "%s is already the address of %q", b.Address, other)
		} else {
			addresses[b.Address.String()] = b.Name
		}
		v.checkRange(SectionBackend, name, "Slots", int64(b.Slots), 1, MaxSlots)
		v.checkRange(SectionBackend, name, "MaxConnections", int64(b.MaxConnections), 1, MaxConnections)
	}
}

// checkRegionLimits rejects limits that no region could reach. A limit somewhat above the region's slots is allowed, so that
// backend servers can be added later.
func (v *validator) checkRegionLimits() {
	slots := make(map[RegionName]int)
	for _, b := range v.c.Backends {
		slots[b.Region] += b.Slots
	}
	for _, r := range v.c.Regions {
		if n := slots[r.Name]; n > 0 && r.MaxRunning > n*maxSlotsMultiple {
			v.add(SectionRegion, string(r.Name), "MaxRunning", "", "limit %d is more than %d times the %d slots of the region", r.MaxRunning, maxSlotsMultiple, n)
		}
	}
}
