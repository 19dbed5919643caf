package settings

import (
	"net/netip"
	"time"

	"azurebridge/protocol/inifile"
	"azurebridge/protocol/storeapi"
)

// Standin holds the settings of azb-standin.
type Standin struct {
	Platform   netip.AddrPort // the store and the list of instances
	Control    netip.AddrPort // sets faults, serves the ledger of runs
	Deployment string         // path of the deployment file whose backend servers are simulated
	Store      StandinStore
	ListLag    time.Duration // time until a change shows in the list of instances
	Backends   StandinBackends
	Services   map[string]StandinService
	Instances  []storeapi.Instance
	LogLevel   string
}

// StandinStore holds the rate limits of the store, in calls/s. Every call counts.
type StandinStore struct {
	ReadsPerSecond  int
	WritesPerSecond int
}

// StandinBackends holds the settings that all backend servers share.
type StandinBackends struct {
	RegionRTT   time.Duration // network round trip between regions
	DomainRTT   time.Duration // network round trip between failure domains of a region
	ConnectCost time.Duration // time before the first byte of a new connection is read
	ProbeCost   time.Duration // time that a call to a health or load endpoint takes
	// SlotGrace is how long a request waits for a slot that is being freed before it is shed, and how long an excess
	// over a limit must last to count as an overshoot.
	SlotGrace time.Duration
}

// StandinService describes the behaviour of the backend servers of one service.
type StandinService struct {
	Work         time.Duration // mean time that a request holds a slot before its answer begins
	Spread       float64       // share of Work that is exponentially distributed, 0 to 1
	Size         int64         // bytes of a body
	ColdFactor   float64       // Work is multiplied by this right after a cold start
	WarmRequests int           // requests after which the excess of a cold cache has fallen to 37%
	StartCold    bool
}

const (
	maxStoreRate    = 1 << 20 // calls/s
	maxWarmRequests = 1 << 20 // requests
	maxColdFactor   = 1000
	maxStandinDelay = 10 * time.Second
)

// LoadStandin reads the settings of azb-standin.
func LoadStandin(path string) (*Standin, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	out := &Standin{Services: make(map[string]StandinService)}
	s := f.Section("listen")
	out.Platform = s.HostPort("platform")
	out.Control = s.HostPort("control")
	out.Deployment = f.Section("deployment").Required("file")
	s = f.Section("store")
	out.Store.ReadsPerSecond = s.Int("reads_per_second", 2000, 1, maxStoreRate)
	out.Store.WritesPerSecond = s.Int("writes_per_second", 400, 1, maxStoreRate)
	out.ListLag = f.Section("instances").Duration("lag", time.Second, 0, maxDuration)
	out.Backends = readStandinBackends(f.Section("backends"))
	for _, s := range f.NamedSections("service") {
		out.Services[s.Label] = StandinService{
			Work:         s.Duration("work", 10*time.Millisecond, 0, maxDuration),
			Spread:       s.Percent("spread", 0) / 100,
			Size:         int64(s.Int("body_bytes", 4096, 0, maxBodyLimit)),
			ColdFactor:   float64(s.Int("cold_factor", 1, 1, maxColdFactor)),
			WarmRequests: s.Int("warm_requests", 100, 1, maxWarmRequests),
			StartCold:    s.Bool("start_cold", false),
		}
	}
	for _, s := range f.NamedSections("instance") {
		out.Instances = append(out.Instances, storeapi.Instance{
			Name: s.Label, Region: s.Required("region"), Domain: s.Required("domain"),
			CallerAddress: s.HostPort("callers").String(), FleetAddress: s.HostPort("fleet").String(),
			Status: s.Choice("status", "live", "live", "leaving"),
		})
	}
	out.LogLevel = readLogLevel(f)
	return out, f.Err()
}

func readStandinBackends(s *inifile.Section) StandinBackends {
	return StandinBackends{
		RegionRTT:   s.Duration("region_rtt", 0, 0, maxStandinDelay),
		DomainRTT:   s.Duration("domain_rtt", 0, 0, maxStandinDelay),
		ConnectCost: s.Duration("connect_cost", time.Millisecond, 0, maxStandinDelay),
		ProbeCost:   s.Duration("probe_cost", 6*time.Millisecond, 0, maxStandinDelay),
		SlotGrace:   s.Duration("slot_grace", 20*time.Millisecond, 0, maxStandinDelay),
	}
}
