package settings

import (
	"net/netip"
	"time"

	"azurebridge/protocol/inifile"
)

// Load holds the settings of azb-load.
type Load struct {
	Deployment  string
	Platform    netip.AddrPort // list of instances, where callers find their first entry instance
	Control     netip.AddrPort // control address of the stand-ins: sets faults, serves the ledger of their runs
	Duration    time.Duration
	Settle      time.Duration // max wait for requests in flight after Duration
	Seed        uint64
	MaxInFlight int
	NetworkRTT  time.Duration // round trip between a client and its entry instance
	Timeline    bool          // also collect the results in time buckets
	Mix         []MixLine
	Faults      []ScheduledFault
}

// MixLine describes one kind of request. Its rate is split evenly over all pairs of its customers and regions.
type MixLine struct {
	Name       string
	Customers  []string
	Service    string
	Submission bool
	PerSecond  float64 // requests/s of all customers together
	Size       int64   // bytes of a response body, or of a submission
	Items      int     // number of distinct paths
	Clients    int     // number of distinct clients of each customer; each does its own look-up
	Regions    []string
	Keyed      float64       // share of submissions with an idempotency key, 0 to 1
	Repeat     float64       // share of keyed submissions that are sent again with the same key, 0 to 1
	Timeout    time.Duration // of one attempt
	ReadRate   int64         // bytes/s at which the client reads a body; 0 means unlimited
	Deadline   time.Duration // sent as Azb-Deadline-Ms; 0 sends none
	Ahead      bool          // requests are sent before the answers to earlier ones of their connection; for reads only
}

// ScheduledFault is switched on at At and off at Until, both since the start of the load. Until 0 leaves it on.
type ScheduledFault struct {
	Name  string
	At    time.Duration
	Until time.Duration
	JSON  string // body of the request to the control address
}

const (
	maxRate     = 1 << 20 // requests/s
	maxItems    = 1 << 20
	maxClients  = 1 << 16
	maxInFlight = 1 << 17
	maxReadRate = 1 << 30 // bytes/s
)

// ReadLoad reads the settings of azb-load.
func ReadLoad(path string) (*Load, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	return parseLoad(f)
}

func parseLoad(f *inifile.File) (*Load, error) {
	out := &Load{}
	s := f.Section("target")
	out.Deployment = s.Required("deployment")
	out.Platform = s.HostPort("platform")
	out.Control = s.HostPort("control")
	s = f.Section("load")
	out.Duration = s.Duration("duration", 20*time.Second, time.Second, maxDuration)
	out.Settle = s.Duration("settle", 15*time.Second, 0, maxDuration)
	out.Seed = uint64(s.Int("seed", 1, 0, 1<<62))
	out.MaxInFlight = s.Int("max_in_flight", 4096, 1, maxInFlight)
	out.NetworkRTT = s.Duration("network_rtt", time.Millisecond, 0, maxTrialDelay)
	for _, s := range f.NamedSections("mix") {
		out.Mix = append(out.Mix, readMix(s))
	}
	for _, s := range f.NamedSections("fault") {
		out.Faults = append(out.Faults, ScheduledFault{
			Name: s.Label, At: s.Duration("at", 0, 0, maxDuration), Until: s.Duration("until", 0, 0, maxDuration), JSON: s.Required("fault"),
		})
	}
	return out, f.Err()
}

func readMix(s *inifile.Section) MixLine {
	m := MixLine{
		Name: s.Label, Customers: s.List("customers"), Service: s.Required("service"), Regions: s.List("regions"),
		Submission: s.Choice("kind", "read", "read", "submission") == "submission",
		PerSecond:  float64(s.Int("per_second", 1, 0, maxRate)),
		Size:       int64(s.Int("body_bytes", 4096, 0, maxBodyLimit)),
		Items:      s.Int("items", 100, 1, maxItems),
		Clients:    s.Int("clients", 10, 1, maxClients),
		Keyed:      s.Percent("keyed", 0) / 100,
		Repeat:     s.Percent("repeat", 0) / 100,
		Timeout:    s.Duration("timeout", 10*time.Second, time.Millisecond, maxDuration),
		ReadRate:   s.Rate("read_rate", 0, maxReadRate),
		Deadline:   s.Duration("deadline", 0, 0, maxDuration),
		Ahead:      s.Bool("ahead", false),
	}
	if m.Ahead && m.Submission {
		s.Problem("ahead", "is for reads only: a submission must not be sent again when the connection ends")
	}
	if len(m.Customers) == 0 {
		s.Problem("customers", "value is required")
	}
	if len(m.Regions) == 0 {
		s.Problem("regions", "value is required")
	}
	return m
}
