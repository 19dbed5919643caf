package settings

import (
	"net/netip"
	"time"

	"azurebridge/protocol/inifile"
	"azurebridge/state"
)

// Front holds the settings of azb-front.
type Front struct {
	Name      state.InstanceName
	Region    state.RegionName
	Domain    state.DomainName
	Callers   netip.AddrPort
	Ready     netip.AddrPort // the platform's readiness checks
	Directory netip.AddrPort // clients' look-ups of the instances to connect to
	Peers     netip.AddrPort // UDP gossip and HTTP facts, for other instances
	Control   netip.AddrPort // where starting instances ask for the store's content; zero when not set
	Seeds     []string       // control addresses of some instances; may be outdated
	Metrics   netip.AddrPort
	Store     netip.AddrPort
	Regions   map[state.DomainName]state.RegionName
	Limits    FrontLimits
	// OverloadControl is whether objects are spread over more servers under load, and requests are admitted by value.
	OverloadControl bool
	LogLevel        string
}

// FrontLimits holds limits and times. The retry and cold limits and the quotas hold for all instances of a deployment together, the others for
// each instance.
type FrontLimits struct {
	StopGrace      time.Duration // max time from the stop signal to the end of the process
	LookupTTL      time.Duration // how long callers may cache a look-up
	RetryRatio     float64       // retries per request for a service, in one window
	RetryExtra     float64       // retries in one window, in addition to RetryRatio
	RetryWindow    time.Duration
	ColdFactor     float64       // multiple of the service's ColdRate that a cold backend server may get
	ColdTolerance  float64       // requests/s in addition to ColdFactor
	MemoryMegabyte float64       // memory of the process in MiB; 0 sets no limit
	MaxDescriptors float64       // open descriptors that the process may have; 0 if not known
	LinkMbps       float64       // bandwidth of the instance's link in Mbit/s; 0 if not known
	QuotaWindow    time.Duration // span of time for which quotas of customers hold; 0 for no quotas
	QuotaOverage   float64       // part of a quota by which it may be exceeded
	QuotaTolerance float64       // requests in one window, in addition to QuotaOverage
	// StrictRevocation is whether requests with a key are refused while the instance's knowledge of the store is older than
	// RevokeAfter.
	StrictRevocation bool
	RevokeAfter      time.Duration
}

// Defaults and bounds of FrontLimits.
const (
	defaultStopGrace   = 6 * time.Second
	defaultLookupTTL   = 2 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryWindow = 10 * time.Second
	minRetryWindow     = 10 * time.Millisecond
	defaultRevokeAfter = 3 * time.Second // the time within which a changed key is in force at instances in contact with the store
	// maxShare, maxCount, maxMegabyte and maxMbps reject only values that cannot be meant: a platform may derive any other
	// figure from the size of its deployment.
	maxShare    = 1e6
	maxCount    = 1e12
	maxMegabyte = 1 << 30
	maxMbps     = 1e9
)

// LoadFront reads the settings of azb-front.
func LoadFront(path string) (*Front, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	return parseFront(f)
}

func parseFront(f *inifile.File) (*Front, error) {
	out := &Front{Regions: make(map[state.DomainName]state.RegionName)}
	s := f.Section("instance")
	out.Name = state.InstanceName(s.Required("name"))
	out.Region = state.RegionName(s.Required("region"))
	out.Domain = state.DomainName(s.Required("domain"))
	s = f.Section("listen")
	out.Callers = s.HostPort("callers")
	out.Ready = s.HostPort("ready")
	out.Directory = s.HostPort("directory")
	out.Peers = s.HostPort("peers")
	out.Metrics = s.HostPort("metrics")
	if s.String("control", "") != "" {
		out.Control = s.HostPort("control")
	}
	out.Seeds = s.List("seeds")
	out.Store = f.Section("store").HostPort("address")
	for _, s := range f.NamedSections("domain") {
		out.Regions[state.DomainName(s.Label)] = state.RegionName(s.Required("region"))
	}
	s = f.Section("limits")
	out.Limits = FrontLimits{
		StopGrace:        s.Duration("stop_grace", defaultStopGrace, 0, maxDuration),
		LookupTTL:        s.Duration("lookup_ttl", defaultLookupTTL, 0, maxDuration),
		RetryRatio:       s.Number("retry_ratio", defaultRetryRatio, 0, maxShare),
		RetryExtra:       s.Number("retry_extra", 0, 0, maxCount),
		RetryWindow:      max(minRetryWindow, s.Duration("retry_window", defaultRetryWindow, 0, maxDuration)),
		ColdFactor:       s.Number("cold_factor", 1, 0, maxShare),
		ColdTolerance:    s.Number("cold_tolerance", 0, 0, maxCount),
		MemoryMegabyte:   s.Number("memory_mb", 0, 0, maxMegabyte),
		MaxDescriptors:   s.Number("max_fds", 0, 0, maxCount),
		LinkMbps:         s.Number("link_mbps", 0, 0, maxMbps),
		QuotaWindow:      s.Duration("quota_window", 0, 0, maxDuration),
		QuotaOverage:     s.Number("quota_overage", 0, 0, maxShare),
		QuotaTolerance:   s.Number("quota_tolerance", 0, 0, maxCount),
		StrictRevocation: s.Bool("strict_revocation", false),
		RevokeAfter:      s.Duration("revoke_after", defaultRevokeAfter, 0, maxDuration),
	}
	out.OverloadControl = f.Section("overload").Bool("enabled", false)
	if _, ok := out.Regions[out.Domain]; !ok && len(out.Regions) > 0 {
		f.Section("instance").Problem("domain", "has no section [domain "+string(out.Domain)+"]")
	}
	out.LogLevel = readLogLevel(f)
	return out, f.Err()
}
