package configcodec_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/rollout"
	"azurebridge/protocol/configcodec"
	"azurebridge/state"
)

func sample() *state.Config {
	return &state.Config{
		Revision: 7, Author: "a", Nonce: "n",
		Regions:  []state.Region{{Name: "r", Domains: []state.DomainName{"d"}, MaxRunning: 3}},
		Services: []state.Service{{Name: "s", Kind: state.KindStream, BytesPerSecond: 5, QueueTimeout: time.Second}},
		Backends: []state.BackendServer{{Name: "b", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), Region: "r", Domain: "d", Slots: 2, MaxConnections: 3}},
		Plans:    []state.Plan{{Name: "p", Regions: []state.RegionName{"r"}, Services: []state.PlanService{{Service: "s", SharePercent: 12.5, BurstPercent: 20}}}},
		Shifts:   []state.Shift{{Name: "h", From: "r", To: "q", MaxRunning: 2, RampPerSecond: 1}},
	}
}

// Guards against a lost field, a digest that differs for equal configurations, and accepting a corrupt item or one whose revision
// was changed.
func TestItemRoundTrip(t *testing.T) {
	g := NewWithT(t)
	it, err := configcodec.Encode(sample())
	g.Expect(err).NotTo(HaveOccurred())
	second, err := configcodec.Encode(sample().Clone())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).To(Equal(it))
	g.Expect(configcodec.Decode(it)).To(Equal(sample()))

	corrupt := it
	corrupt.Data = append([]byte(nil), it.Data...)
	corrupt.Data[3]++
	_, err = configcodec.Decode(corrupt)
	g.Expect(err).To(MatchError(configcodec.ErrFormat))
	it.Revision++
	_, err = configcodec.Decode(it)
	g.Expect(err).To(MatchError(configcodec.ErrFormat))
}

// Guards against a panic, or an error without ErrFormat, on bytes from the network or the store.
func FuzzDecode(f *testing.F) {
	it, err := configcodec.Encode(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(it.Data, uint64(7))
	f.Add([]byte(`{"revision":1,"digest":"00","chunks":1}`), uint64(1))
	f.Fuzz(func(t *testing.T, data []byte, revision uint64) {
		g := NewWithT(t)
		if c, err := configcodec.Decode(rollout.NewItem(state.Revision(revision), data)); err != nil {
			g.Expect(err).To(MatchError(configcodec.ErrFormat))
		} else {
			_, err := configcodec.Encode(c)
			g.Expect(err).NotTo(HaveOccurred())
		}
		if _, err := configcodec.DecodeHead(data); err != nil {
			g.Expect(err).To(MatchError(configcodec.ErrFormat))
		}
	})
}
