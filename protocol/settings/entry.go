// Package settings reads the INI settings of each program.
package settings

import (
	"net/netip"
	"time"

	"azurebridge/protocol/inifile"
	"azurebridge/state"
)

// Entry holds the settings of azb-entry.
type Entry struct {
	Name        state.InstanceName
	Fleet       string
	Region      state.RegionName
	Domain      state.DomainName
	Callers     netip.AddrPort // callers' interface
	FleetListen netip.AddrPort // QUIC, for other instances
	Operators   netip.AddrPort // operators' interface
	Platform    netip.AddrPort // the platform's store and list of instances
	TLS         TLS
	// CallersTLS names the server certificate of the callers' interface. Without the section it is empty and callers use
	// plain HTTP.
	CallersTLS CallersTLS
	MaxBody    int64
	MaxHeader  int
	BodyMemory int64         // bytes for bodies of submissions that are in progress
	MaxConns   int           // callers' connections; 0 for half of the descriptors
	StopGrace  time.Duration // max wait for requests in flight at a planned stop; 0 means no limit
	LogLevel   string
	Blocks     string // file of client blocks; empty for none
	Trial      Trial
}

// TLS names the PEM files of a process's identity in the fleet.
type TLS struct {
	Authority   string
	Certificate string
	Key         string
}

// CallersTLS names the files of the server certificate of the callers' interface.
type CallersTLS struct {
	Certificate string // PEM, followed by its chain if there is one
	Key         string
}

// Trial adds network delay for trials on one machine. It is off unless the file has the section [trial].
type Trial struct {
	Enabled     bool
	RegionDelay time.Duration // one way, between regions
	DomainDelay time.Duration // one way, between failure domains of a region
}

const (
	maxBodyLimit   = 1 << 30 // bytes
	maxHeaderLimit = 1 << 20 // bytes
	minBodyMemory  = 1 << 20 // bytes
	maxBodyMemory  = 1 << 40 // bytes
	maxConnections = 1 << 20
	maxDuration    = 24 * time.Hour
	maxTrialDelay  = time.Second
)

// LoadEntry reads the settings of azb-entry.
func LoadEntry(path string) (*Entry, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return nil, err
	}
	e := &Entry{}
	s := f.Section("instance")
	e.Name = state.InstanceName(s.Required("name"))
	e.Fleet = s.Required("fleet")
	e.Region = state.RegionName(s.Required("region"))
	e.Domain = state.DomainName(s.Required("domain"))
	s = f.Section("listen")
	e.Callers = s.HostPort("callers")
	e.FleetListen = s.HostPort("fleet")
	e.Operators = s.HostPort("operators")
	s = f.Section("platform")
	e.Platform = s.HostPort("address")
	e.TLS = readTLS(f)
	if s := f.Section("callers_tls"); s.Present() {
		e.CallersTLS = CallersTLS{Certificate: s.Required("certificate"), Key: s.Required("key")}
	}
	s = f.Section("limits")
	e.MaxBody = int64(s.Int("max_body_bytes", 64<<20, 0, maxBodyLimit))
	e.MaxHeader = s.Int("max_header_bytes", 16<<10, 1<<10, maxHeaderLimit)
	e.BodyMemory = int64(s.Int("body_memory_bytes", 256<<20, minBodyMemory, maxBodyMemory))
	e.MaxConns = s.Int("max_connections", 0, 0, maxConnections)
	e.StopGrace = s.Duration("stop_grace", 0, 0, maxDuration)
	e.LogLevel = readLogLevel(f)
	e.Blocks = f.Section("blocks").String("file", "")
	e.Trial = readTrial(f)
	return e, f.Err()
}

func readTLS(f *inifile.File) TLS {
	s := f.Section("tls")
	return TLS{Authority: s.Required("authority"), Certificate: s.Required("certificate"), Key: s.Required("key")}
}

func readLogLevel(f *inifile.File) string {
	return f.Section("log").Choice("level", "info", "trace", "debug", "info", "warn", "error")
}

func readTrial(f *inifile.File) Trial {
	s := f.Section("trial")
	return Trial{
		Enabled:     s.Present(),
		RegionDelay: s.Duration("region_delay", 0, 0, maxTrialDelay),
		DomainDelay: s.Duration("domain_delay", 0, 0, maxTrialDelay),
	}
}
