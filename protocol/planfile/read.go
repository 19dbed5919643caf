// Package planfile reads and writes the operators' files as INI: the deployment (regions, links, services, backend
// servers), the list of customers, and the list of plans.
package planfile

import (
	"net/netip"
	"strings"
	"time"

	"azurebridge/protocol/inifile"
	"azurebridge/state"
)

// Bounds of the values in the files.
const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
	maxRunning     = 1 << 24
	maxRate        = int64(1) << 40 // bytes per second
	maxTimeout     = 24 * time.Hour
)

// Files names the three files.
type Files struct {
	Deployment string
	Plans      string
	Customers  string
}

// Read reads the files into a configuration. All problems of all files are returned together as inifile.Problems.
func Read(files Files) (*state.Config, error) {
	c := &state.Config{}
	var problems inifile.Problems
	for _, part := range []struct {
		path string
		read func(*inifile.File, *state.Config)
	}{{files.Deployment, readDeployment}, {files.Plans, readPlans}, {files.Customers, readCustomers}} {
		f, err := inifile.Load(part.path)
		if err != nil {
			return nil, err
		}
		part.read(f, c)
		if err := f.Err(); err != nil {
			problems = append(problems, err.(inifile.Problems)...)
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return c, nil
}

func readDeployment(f *inifile.File, c *state.Config) {
	for _, s := range f.Named("region") {
		r := state.Region{Name: state.RegionName(s.Label), MaxRunning: s.Int("max_running", 0, 0, maxRunning)}
		for _, d := range s.List("domains") {
			r.Domains = append(r.Domains, state.DomainName(d))
		}
		c.Regions = append(c.Regions, r)
	}
	for _, s := range f.Named("link") {
		from, to, ok := strings.Cut(s.Label, " ")
		if !ok {
			s.Problem("", "section name must be [link FROM TO]")
		}
		c.Links = append(c.Links, state.Link{From: state.RegionName(from), To: state.RegionName(to), BytesPerSecond: s.Rate("rate", 0, maxRate)})
	}
	for _, s := range f.Named("service") {
		c.Services = append(c.Services, readService(s))
	}
	for _, s := range f.Named("backend") {
		c.Backends = append(c.Backends, readBackend(s))
	}
}

func readService(s *inifile.Section) state.Service {
	return state.Service{
		Name: state.ServiceName(s.Label),
		Kind: state.ServiceKind(s.Choice("kind", string(state.KindLookup), string(state.KindLookup),
			string(state.KindSubmission), string(state.KindDownload), string(state.KindStream))),
		BytesPerSecond:   s.Rate("rate", 0, maxRate),
		FirstByteTimeout: s.Duration("first_byte_timeout", 2*time.Second, 0, maxTimeout),
		Deadline:         s.Duration("deadline", 0, 0, maxTimeout),
		QueueTimeout:     s.Duration("queue_timeout", time.Second, 0, maxTimeout),
	}
}

func readBackend(s *inifile.Section) state.BackendServer {
	b := state.BackendServer{
		Name:           state.BackendName(s.Label),
		Service:        state.ServiceName(s.Required("service")),
		Region:         state.RegionName(s.Required("region")),
		Domain:         state.DomainName(s.Required("domain")),
		Slots:          s.Int("slots", 1, 1, maxSlots),
		MaxConnections: s.Int("max_connections", 100, 1, maxConnections),
	}
	address, err := netip.ParseAddrPort(s.Required("address"))
	if err != nil {
		s.Problem("address", err.Error())
	}
	b.Address = address
	return b
}

// readPlans reads the plans. Each `service NAME` key holds share, burst and latency target: `10% 40% 200ms`.
func readPlans(f *inifile.File, c *state.Config) {
	for _, s := range f.Named("plan") {
		p := state.Plan{Name: state.PlanName(s.Label)}
		for _, r := range s.List("regions") {
			p.Regions = append(p.Regions, state.RegionName(r))
		}
		for _, name := range s.List("services") {
			p.Services = append(p.Services, readPlanService(s, name))
		}
		c.Plans = append(c.Plans, p)
	}
}

func readPlanService(s *inifile.Section, name string) state.PlanService {
	ps := state.PlanService{
		Service:       state.ServiceName(name),
		SharePercent:  s.Percent(name+".share", 0),
		BurstPercent:  s.Percent(name+".burst", 0),
		LatencyTarget: s.Duration(name+".latency", 0, 0, maxTimeout),
	}
	if ps.BurstPercent == 0 {
		ps.BurstPercent = ps.SharePercent
	}
	if ps.BurstPercent < ps.SharePercent {
		s.Problem(name+".burst", "burst is below share")
	}
	return ps
}

func readCustomers(f *inifile.File, c *state.Config) {
	for _, s := range f.Named("customer") {
		c.Customers = append(c.Customers, state.Customer{Name: state.CustomerName(s.Label), Plan: state.PlanName(s.Required("plan"))})
	}
}

// ReadDeployment reads only the deployment file.
func ReadDeployment(path string) (*state.Config, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	c := &state.Config{}
	readDeployment(f, c)
	return c, f.Err()
}
