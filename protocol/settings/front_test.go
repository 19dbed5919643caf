package settings

import (
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
