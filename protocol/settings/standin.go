package settings

import (
	"net/netip"
	"time"

	"azurebridge/protocol/inifile"
	"azurebridge/protocol/storeapi"
)

// Standin is the settings of azb-standin.
type Standin struct {
	Platform   netip.AddrPort // the store and the list of instances
	Control    netip.AddrPort // faults and the ledger
	Deployment string         // deployment file, whose backend servers it stands in for
	Services   map[string]StandinService
	Instances  []storeapi.Instance
	LogLevel   string
}

// StandinService says how the backend servers of a service behave.
type StandinService struct {
	Work time.Duration // time that a request holds a slot before its answer begins
	Size int64         // bytes of a body
}

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
	for _, s := range f.Named("service") {
		out.Services[s.Label] = StandinService{
			Work: s.Duration("work", 10*time.Millisecond, 0, maxGrace),
			Size: int64(s.Int("body_bytes", 4096, 0, maxBodyLimit)),
		}
	}
	for _, s := range f.Named("instance") {
		out.Instances = append(out.Instances, storeapi.Instance{
			Name: s.Label, Region: s.Required("region"), Domain: s.Required("domain"),
			CallerAddress: s.HostPort("callers").String(), FleetAddress: s.HostPort("fleet").String(),
			Status: s.Choice("status", "live", "live", "leaving"),
		})
	}
	out.LogLevel = readLog(f)
	return out, f.Err()
}
