package planfile_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"azurebridge/internal/proptest"
	"azurebridge/protocol/inifile"
	"azurebridge/protocol/planfile"
	"azurebridge/state"
)

func TestMain(m *testing.M) { proptest.Main(m, 100, 30) }

var files = planfile.Files{Deployment: "d.ini", Plans: "p.ini", Customers: "c.ini"}

// drawNames draws distinct names; dots and prefixes of each other are included on purpose.
func drawNames[T ~string](t *rapid.T, label string, minCount, maxCount int) []T {
	var out []T
	for _, n := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-zA-Z0-9_.-]{1,5}`), minCount, maxCount, rapid.ID[string]).Draw(t, label) {
		out = append(out, T(n))
	}
	return out
}

func drawDuration(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(state.MaxServiceTime)).Draw(t, label))
}

// drawConfig draws a valid configuration.
func drawConfig(t *rapid.T) *state.Config {
	c := &state.Config{Revision: state.Revision(rapid.Uint32().Draw(t, "revision"))}
	domains := drawNames[state.DomainName](t, "domains", 2, 6)
	regions := drawNames[state.RegionName](t, "regions", 2, 2)
	for i, r := range regions {
		list := domains[i : i+1]
		if i == 1 {
			list = domains[1:]
		}
		c.Regions = append(c.Regions, state.Region{Name: r, Domains: list, MaxRunning: rapid.IntRange(0, 10).Draw(t, "limit")})
	}
	c.Links = []state.Link{{From: regions[0], To: regions[1], BytesPerSecond: rapid.Int64Range(0, state.MaxRate).Draw(t, "rate")}}
	services := drawNames[state.ServiceName](t, "services", 1, 4)
	for _, s := range services {
		kind := rapid.SampledFrom([]state.ServiceKind{state.KindLookup, state.KindSubmission, state.KindDownload, state.KindStream}).Draw(t, "kind")
		c.Services = append(c.Services, state.Service{Name: s, Kind: kind, BytesPerSecond: rapid.Int64Range(0, state.MaxRate).Draw(t, "rate"),
			FirstByteTimeout: drawDuration(t, "first"), Deadline: drawDuration(t, "deadline"), QueueTimeout: drawDuration(t, "queue")})
	}
	for i, b := range drawNames[state.BackendName](t, "backends", 0, 5) {
		c.Backends = append(c.Backends, state.BackendServer{Name: b, Service: rapid.SampledFrom(services).Draw(t, "service"),
			Address: netip.MustParseAddrPort(fmt.Sprintf("[::1]:%d", i+1)), Region: regions[0], Domain: domains[0],
			Slots: rapid.IntRange(1, state.MaxSlots).Draw(t, "slots"), MaxConnections: rapid.IntRange(1, state.MaxConnections).Draw(t, "connections")})
	}
	for _, p := range drawNames[state.PlanName](t, "plans", 0, 3) {
		plan := state.Plan{Name: p, Regions: regions}
		for _, s := range services {
			share := rapid.Float64Range(0, 10).Draw(t, "share")
			plan.Services = append(plan.Services, state.PlanService{Service: s, SharePercent: share,
				BurstPercent: rapid.Float64Range(share, 100).Draw(t, "burst"), LatencyTarget: drawDuration(t, "latency")})
		}
		c.Plans = append(c.Plans, plan)
		c.Customers = append(c.Customers, state.Customer{Name: state.CustomerName("c-" + p), Plan: p})
		c.Drains = append(c.Drains[:0], state.Drain{Kind: state.DrainRegion, Name: string(regions[1])}, state.Drain{Kind: state.DrainDomain, Name: string(domains[1])})
		c.Shifts = append(c.Shifts, state.Shift{Name: state.ShiftName(p), From: regions[1], To: regions[0],
			MaxRunning: rapid.IntRange(0, 99).Draw(t, "max"), RampPerSecond: rapid.IntRange(0, 99).Draw(t, "ramp")})
	}
	return c
}

// Guards against `azb-ctl get` writing files that `azb-ctl apply` rejects or reads as another configuration.
func TestWriteReadsBackEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		if err := c.Validate(); err != nil {
			t.Fatalf("generated configuration is not valid: %v", err)
		}
		parsed, err := planfile.Parse(files, planfile.Write(c))
		if err != nil {
			t.Fatalf("parse: %v\n%s", err, planfile.Write(c).Deployment)
		}
		NewWithT(t).Expect(parsed).To(Equal(c))
	})
}

// Guards against reporting only the first problem, and against a validation fault without file, section and key.
func TestParseReportsAllProblems(t *testing.T) {
	g := NewWithT(t)
	_, err := planfile.Parse(files, planfile.Text{
		Deployment: "[region r]\ndomains = d\nmax_running = many\n[service s]\nkind = odd\n[backend b]\nservice = x\naddress = 127.0.0.1:1\nregion = r\ndomain = e\nslotz = 1\n[link r q]\nrate = 1\n[drain backend z]\n",
		Plans:      "[plan p]\nregions = r\nservices = s\ns.share = 60%\n",
		Customers:  "[customer a]\nplan = p\n[customer b]\nplan = p\n[customer c]\nplan = none\n",
	})
	var problems inifile.Problems
	g.Expect(errors.As(err, &problems)).To(BeTrue())
	var places []string
	for _, p := range problems {
		g.Expect(p.Reason).NotTo(BeEmpty())
		places = append(places, p.File+" ["+p.Section+"] "+p.Key)
	}
	g.Expect(places).To(ConsistOf(
		"d.ini [region r] max_running", "d.ini [service s] kind", "d.ini [backend b] service", "d.ini [backend b] domain",
		"d.ini [backend b] slotz", "d.ini [link r q] rate", "d.ini [link r q] ", "d.ini [drain backend z] ",
		"p.ini [plan p] s.share", "c.ini [customer c] plan",
	))
}
