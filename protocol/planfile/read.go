// Package planfile reads and writes the operators' files as INI: the deployment (regions, links, services, backend
// servers), the list of customers, and the list of plans.
package planfile

import (
	"math"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurebridge/protocol/inifile"
	"azurebridge/state"
)

// Files names the three files.
type Files struct {
	Deployment string
	Plans      string
	Customers  string
}

// Text holds the content of the three files, as the operators' interface transfers it.
type Text struct {
	Deployment string `json:"deployment"`
	Plans      string `json:"plans"`
	Customers  string `json:"customers"`
}

// Load reads the three files without parsing them.
func Load(files Files) (Text, error) {
	var t Text
	for _, part := range []struct {
		path    string
		content *string
	}{{files.Deployment, &t.Deployment}, {files.Plans, &t.Plans}, {files.Customers, &t.Customers}} {
		info, err := os.Stat(part.path)
		if err != nil {
			return Text{}, errors.Wrap(err, "read configuration")
		}
		if info.Size() > inifile.MaxFileSize {
			return Text{}, errors.Errorf("read configuration %s: %d bytes, limit is %d", part.path, info.Size(), inifile.MaxFileSize)
		}
		data, err := os.ReadFile(part.path)
		if err != nil {
			return Text{}, errors.Wrap(err, "read configuration")
		}
		*part.content = string(data)
	}
	return t, nil
}

// Read reads and validates the files. All problems of all files are returned together as inifile.Problems.
func Read(files Files) (*state.Config, error) {
	t, err := Load(files)
	if err != nil {
		return nil, err
	}
	return Parse(files, t)
}

// Parse reads and validates a configuration; files gives the file names in problems. The Revision of the result is the one that
// the files were made from, or 0 if they name none. All problems are returned together as inifile.Problems.
func Parse(files Files, t Text) (*state.Config, error) {
	c := &state.Config{}
	var problems inifile.Problems
	for _, part := range []struct {
		path, text string
		read       func(*inifile.File, *state.Config)
	}{{files.Deployment, t.Deployment, readDeployment}, {files.Plans, t.Plans, readPlans}, {files.Customers, t.Customers, readCustomers}} {
		f, err := inifile.Parse(part.path, []byte(part.text))
		if err != nil {
			problems = append(problems, inifile.Problem{File: part.path, Reason: err.Error()})
			continue
		}
		part.read(f, c)
		var found inifile.Problems
		if errors.As(f.Err(), &found) {
			problems = append(problems, found...)
		}
	}
	problems = append(problems, validate(files, c, problems)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return c, nil
}

// fieldKeys maps the fields of validation faults to keys of the files. %s is replaced by the item of the fault.
var fieldKeys = map[state.SectionKind]map[string]string{
	state.SectionRegion: {"MaxRunning": "max_running", "Domains": "domains"},
	state.SectionLink:   {"BytesPerSecond": "rate"},
	state.SectionService: {"Kind": "kind", "BytesPerSecond": "rate", "FirstByteTimeout": "first_byte_timeout",
		"Deadline": "deadline", "QueueTimeout": "queue_timeout"},
	state.SectionBackend: {"Service": "service", "Region": "region", "Domain": "domain", "Address": "address",
		"Slots": "slots", "MaxConnections": "max_connections"},
	state.SectionPlan: {"Regions": "regions", "Services": "services", "SharePercent": "%s.share", "BurstPercent": "%s.burst",
		"LatencyTarget": "%s.latency"},
	state.SectionCustomer: {"Plan": "plan"},
	state.SectionShift:    {"From": "from", "To": "to", "MaxRunning": "max_running", "RampPerSecond": "ramp"},
}

// Problem returns a validation fault with the file, section and key that it comes from.
func Problem(files Files, f state.Fault) inifile.Problem {
	p := inifile.Problem{File: files.Deployment, Section: string(f.Kind), Key: fieldKeys[f.Kind][f.Field], Reason: f.Reason}
	if f.Name != "" {
		p.Section += " " + f.Name
	}
	p.Key = strings.Replace(p.Key, "%s", f.Item, 1)
	switch f.Kind {
	case state.SectionPlan:
		p.File = files.Plans
	case state.SectionCustomer:
		p.File = files.Customers
	}
	return p
}

// validate returns the validation faults of the configuration, except those at places that already have a problem in known.
func validate(files Files, c *state.Config, known inifile.Problems) inifile.Problems {
	var faults state.Faults
	if !errors.As(c.Validate(), &faults) {
		return nil
	}
	type place struct{ file, section, key string }
	seen := make(map[place]bool)
	for _, p := range known {
		seen[place{p.File, p.Section, p.Key}] = true
	}
	var out inifile.Problems
	for _, f := range faults {
		if p := Problem(files, f); !seen[place{p.File, p.Section, p.Key}] {
			out = append(out, p)
		}
	}
	return out
}

func readDeployment(f *inifile.File, c *state.Config) {
	for _, s := range f.NamedSections("region") {
		r := state.Region{Name: state.RegionName(s.Label), MaxRunning: s.Int("max_running", 0, 0, state.MaxRunningLimit)}
		for _, d := range s.List("domains") {
			r.Domains = append(r.Domains, state.DomainName(d))
		}
		c.Regions = append(c.Regions, r)
	}
	for _, s := range f.NamedSections("link") {
		from, to, ok := strings.Cut(s.Label, " ")
		if !ok {
			s.Problem("", "section name must be [link FROM TO]")
			continue
		}
		c.Links = append(c.Links, state.Link{From: state.RegionName(from), To: state.RegionName(to), BytesPerSecond: s.Rate("rate", 0, state.MaxRate)})
	}
	for _, s := range f.NamedSections("service") {
		c.Services = append(c.Services, readService(s))
	}
	for _, s := range f.NamedSections("backend") {
		c.Backends = append(c.Backends, readBackend(s))
	}
	readOperations(f, c)
}

// readOperations reads the drains and shifts, and the revision that the files were made from.
func readOperations(f *inifile.File, c *state.Config) {
	for _, s := range f.NamedSections("drain") {
		kind, name, ok := strings.Cut(s.Label, " ")
		if !ok {
			s.Problem("", "section name must be [drain KIND NAME]")
			continue
		}
		c.Drains = append(c.Drains, state.Drain{Kind: state.DrainKind(kind), Name: name})
	}
	for _, s := range f.NamedSections("shift") {
		c.Shifts = append(c.Shifts, state.Shift{
			Name: state.ShiftName(s.Label), From: state.RegionName(s.Required("from")), To: state.RegionName(s.Required("to")),
			MaxRunning:    s.Int("max_running", 0, 0, state.MaxRunningLimit),
			RampPerSecond: s.Int("ramp", 0, 0, state.MaxRunningLimit),
		})
	}
	if s := f.Section("configuration"); s.Present() {
		c.Revision = state.Revision(s.Int("revision", 0, 0, math.MaxInt))
	}
}

func readService(s *inifile.Section) state.Service {
	return state.Service{
		Name: state.ServiceName(s.Label),
		Kind: state.ServiceKind(s.Choice("kind", string(state.KindLookup), string(state.KindLookup),
			string(state.KindSubmission), string(state.KindDownload), string(state.KindStream))),
		BytesPerSecond:   s.Rate("rate", 0, state.MaxRate),
		FirstByteTimeout: s.Duration("first_byte_timeout", 2*time.Second, 0, state.MaxServiceTime),
		Deadline:         s.Duration("deadline", 0, 0, state.MaxServiceTime),
		QueueTimeout:     s.Duration("queue_timeout", time.Second, 0, state.MaxServiceTime),
	}
}

func readBackend(s *inifile.Section) state.BackendServer {
	b := state.BackendServer{
		Name:           state.BackendName(s.Label),
		Service:        state.ServiceName(s.Required("service")),
		Region:         state.RegionName(s.Required("region")),
		Domain:         state.DomainName(s.Required("domain")),
		Slots:          s.Int("slots", 1, 1, state.MaxSlots),
		MaxConnections: s.Int("max_connections", 100, 1, state.MaxConnections),
	}
	address, err := netip.ParseAddrPort(s.Required("address"))
	if err != nil {
		s.Problem("address", err.Error())
	}
	b.Address = address
	return b
}

// readPlans reads the plans. The keys NAME.share, NAME.burst and NAME.latency hold the values of the service NAME.
func readPlans(f *inifile.File, c *state.Config) {
	for _, s := range f.NamedSections("plan") {
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
		LatencyTarget: s.Duration(name+".latency", 0, 0, state.MaxServiceTime),
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
	for _, s := range f.NamedSections("customer") {
		c.Customers = append(c.Customers, state.Customer{Name: state.CustomerName(s.Label), Plan: state.PlanName(s.Required("plan"))})
	}
}

// ReadDeployment reads only the deployment file, without validating the configuration.
func ReadDeployment(path string) (*state.Config, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	c := &state.Config{}
	readDeployment(f, c)
	return c, f.Err()
}
