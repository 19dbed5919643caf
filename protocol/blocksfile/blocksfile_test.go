package blocksfile_test

import (
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/blocksfile"
	"azurebridge/state"
)

// Guards against assigning addresses to the wrong region, and against using a part of a file that has an error.
func TestRead(t *testing.T) {
	g := NewWithT(t)
	r, err := blocksfile.Read(strings.NewReader("# sites\n10.0.0.0/8,mazowsze\n10.1.0.0/16, pomorze,school-7\n2001:db8::/32,malopolska\n"))
	g.Expect(err).NotTo(HaveOccurred())
	for address, want := range map[string]state.RegionName{
		"10.2.3.4": "mazowsze", "10.1.0.1": "pomorze", "::ffff:10.1.0.1": "pomorze", "2001:db8:1::1": "malopolska", "11.0.0.1": "",
	} {
		got, ok := r.Region(netip.MustParseAddr(address))
		g.Expect(got).To(Equal(want), address)
		g.Expect(ok).To(Equal(want != ""), address)
	}
	for text, want := range map[string]string{
		"10.0.0.0/8,a\n10.0.0.0,b\n":             "line 2",
		"10.0.0.0/8\n":                           "line 1",
		"10.0.0.0/8,a,site\n11.0.0.0/8,b,site\n": "site site is in region a and in region b",
		"2001:db8::/96,a\n":                      "longer than /64",
	} {
		_, err := blocksfile.Read(strings.NewReader(text))
		g.Expect(err).To(MatchError(ContainSubstring(want)), text)
	}
}
