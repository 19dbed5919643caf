package settings

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/inifile"
)

const frontFile = `
[instance]
name = front-1
region = north
domain = north-a
[listen]
callers = 10.0.0.1:1
ready = 10.0.0.1:2
directory = 10.0.0.1:3
peers = 10.0.0.1:4
metrics = 10.0.0.1:5
[store]
address = 10.0.0.2:1
[limits]
memory_mb = 206
link_mbps = 700.0
stop_grace = 6s
retry_ratio = 0.2
retry_extra = 124
retry_window = 10s
cold_factor = 1.5
cold_tolerance = 5
strict_revocation = true
revoke_after = 2500ms
quota_window = 5s
quota_overage = 0.1
quota_tolerance = 20
[domain north-a]
region = north
`

// Guards against a setting that is read into the wrong field.
func TestFrontSettings(t *testing.T) {
	g := NewWithT(t)
	f, err := inifile.Parse("front.ini", []byte(frontFile))
	g.Expect(err).NotTo(HaveOccurred())
	cfg, err := parseFront(f)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cfg.Limits).To(Equal(FrontLimits{
		StopGrace: 6 * time.Second, LookupTTL: 2 * time.Second, RetryRatio: 0.2, RetryExtra: 124, RetryWindow: 10 * time.Second,
		ColdFactor: 1.5, ColdTolerance: 5, MemoryMegabyte: 206, LinkMbps: 700,
		StrictRevocation: true, RevokeAfter: 2500 * time.Millisecond,
		QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaTolerance: 20,
	}))
	g.Expect(cfg.Store.String()).To(Equal("10.0.0.2:1"))
	g.Expect(cfg.Regions).To(HaveLen(1))
}

// Guards against accepting an invalid setting, and against an error that does not name its file, section and key.
func TestFrontSettingsNameEachFault(t *testing.T) {
	g := NewWithT(t)
	f, err := inifile.Parse("front.ini", []byte(`
[instance]
name = front-1
region = north
domain = south-a
[listen]
callers = here
[limits]
retry_ratio = 20%
stop_grace = 6
other = 1
[domain north-a]
region = north
`))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = parseFront(f)
	for _, want := range []string{
		"front.ini: [instance] domain: has no section [domain south-a]", "front.ini: [listen] callers:", "front.ini: [listen] peers:",
		"front.ini: [limits] retry_ratio:", "front.ini: [limits] stop_grace:", "front.ini: [limits] other: unknown key",
		"front.ini: [store] address:",
	} {
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
}

// Guards against an instance that ends at its start because the platform fills the template in with a figure that it has
// derived from the size of the deployment, such as a decimal, a large one or zero, or leaves it out.
func TestFrontLimitsAcceptDerivedFigures(t *testing.T) {
	for _, c := range []struct {
		line string
		want func(*FrontLimits) any
		is   any
	}{
		{"retry_extra = 30.714285714285715", func(l *FrontLimits) any { return l.RetryExtra }, 30.714285714285715},
		{"retry_extra = 0", func(l *FrontLimits) any { return l.RetryExtra }, 0.0},
		{"retry_extra = 12000000", func(l *FrontLimits) any { return l.RetryExtra }, 12e6},
		{"", func(l *FrontLimits) any { return l.RetryExtra }, 0.0},
		{"retry_ratio = 5e-05", func(l *FrontLimits) any { return l.RetryRatio }, 5e-5},
		{"retry_ratio = 1.25", func(l *FrontLimits) any { return l.RetryRatio }, 1.25},
		{"retry_ratio = 0", func(l *FrontLimits) any { return l.RetryRatio }, 0.0},
		{"retry_window = 2.5s", func(l *FrontLimits) any { return l.RetryWindow }, 2500 * time.Millisecond},
		{"retry_window = 7200s", func(l *FrontLimits) any { return l.RetryWindow }, 2 * time.Hour},
		{"retry_window = 0s", func(l *FrontLimits) any { return l.RetryWindow }, minRetryWindow},
		{"stop_grace = 0.5s", func(l *FrontLimits) any { return l.StopGrace }, 500 * time.Millisecond},
		{"stop_grace = 0s", func(l *FrontLimits) any { return l.StopGrace }, time.Duration(0)},
		{"cold_factor = 0.4285714285714286", func(l *FrontLimits) any { return l.ColdFactor }, 0.4285714285714286},
		{"cold_factor = 5000", func(l *FrontLimits) any { return l.ColdFactor }, 5000.0},
		{"cold_tolerance = 3.3333333333333335", func(l *FrontLimits) any { return l.ColdTolerance }, 3.3333333333333335},
		{"cold_tolerance = 2000000", func(l *FrontLimits) any { return l.ColdTolerance }, 2e6},
		{"memory_mb = 136.5", func(l *FrontLimits) any { return l.MemoryMegabyte }, 136.5},
		{"memory_mb = 0", func(l *FrontLimits) any { return l.MemoryMegabyte }, 0.0},
		{"max_fds = 2870", func(l *FrontLimits) any { return l.MaxDescriptors }, 2870.0},
		{"max_fds = 2869.5", func(l *FrontLimits) any { return l.MaxDescriptors }, 2869.5},
		{"max_fds = 0", func(l *FrontLimits) any { return l.MaxDescriptors }, 0.0},
		{"max_fds = 1073741816", func(l *FrontLimits) any { return l.MaxDescriptors }, 1073741816.0},
		{"", func(l *FrontLimits) any { return l.MaxDescriptors }, 0.0},
		{"quota_window = 5.0s", func(l *FrontLimits) any { return l.QuotaWindow }, 5 * time.Second},
		{"quota_window = 2.5s", func(l *FrontLimits) any { return l.QuotaWindow }, 2500 * time.Millisecond},
		{"quota_window = 0s", func(l *FrontLimits) any { return l.QuotaWindow }, time.Duration(0)},
		{"", func(l *FrontLimits) any { return l.QuotaWindow }, time.Duration(0)},
		{"quota_overage = 0.125", func(l *FrontLimits) any { return l.QuotaOverage }, 0.125},
		{"quota_overage = 0", func(l *FrontLimits) any { return l.QuotaOverage }, 0.0},
		{"quota_tolerance = 20.5", func(l *FrontLimits) any { return l.QuotaTolerance }, 20.5},
		{"quota_tolerance = 0.0", func(l *FrontLimits) any { return l.QuotaTolerance }, 0.0},
		{"link_mbps = 19.999999999999996", func(l *FrontLimits) any { return l.LinkMbps }, 19.999999999999996},
		{"", func(l *FrontLimits) any { return l.StrictRevocation }, false},
		{"", func(l *FrontLimits) any { return l.RevokeAfter }, defaultRevokeAfter},
		{"strict_revocation = True", func(l *FrontLimits) any { return l.StrictRevocation }, true},
		{"strict_revocation = false", func(l *FrontLimits) any { return l.StrictRevocation }, false},
		{"revoke_after = 2999.9999999999995ms", func(l *FrontLimits) any { return l.RevokeAfter.Round(time.Microsecond) }, 3 * time.Second},
		{"revoke_after = 0ms", func(l *FrontLimits) any { return l.RevokeAfter }, time.Duration(0)},
		{"link_mbps = 4000000", func(l *FrontLimits) any { return l.LinkMbps }, 4e6},
	} {
		t.Run(c.line, func(t *testing.T) {
			g := NewWithT(t)
			start, end := strings.Index(frontFile, "memory_mb"), strings.Index(frontFile, "[domain")
			f, err := inifile.Parse("front.ini", []byte(frontFile[:start]+c.line+"\n"+frontFile[end:]))
			g.Expect(err).NotTo(HaveOccurred())
			cfg, err := parseFront(f)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.want(&cfg.Limits)).To(Equal(c.is))
		})
	}
}

// Guards against overload control that is off where no setting asks for that, and against one that cannot be turned off.
func TestOverloadControlIsOffUnlessEnabled(t *testing.T) {
	g := NewWithT(t)
	for section, want := range map[string]bool{"": false, "[overload]\n": false, "[overload]\nenabled = false\n": false, "[overload]\nenabled = true\n": true} {
		f, err := inifile.Parse("front.ini", []byte(frontFile+section))
		g.Expect(err).NotTo(HaveOccurred())
		cfg, err := parseFront(f)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(cfg.OverloadControl).To(Equal(want), section)
	}
}
