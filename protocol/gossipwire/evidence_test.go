package gossipwire

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/gossip"
	"azurebridge/coordination/quarantine"
	"azurebridge/state"
)

// Guards against evidence that changes when it is encoded and decoded.
func TestEvidenceRoundTrip(t *testing.T) {
	g := NewWithT(t)
	at := func(d time.Duration) state.Instant { return state.Instant(d) }
	m := &gossip.Message{From: "front-1", Region: "north", Evidence: []quarantine.Record{{
		Fingerprint: 1 << 63, Route: "search", ClearedAt: at(-time.Second), Level: 2, Since: at(-time.Minute), Until: at(time.Minute),
		ProbedUntil: at(12 * time.Second),
		Ends:        []quarantine.End{{Process: quarantine.Process{Server: "s-1", Born: 1 << 41}, Domain: "north-a", At: at(-2 * time.Second)}},
	}}}
	data, err := Encode(key, m)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := Decode(key, data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(m))
}

// Guards against an announcement that does not fit into a datagram: one record with the most ends that are announced, with long
// names.
func TestRecordWithManyEndsFits(t *testing.T) {
	g := NewWithT(t)
	name := strings.Repeat("n", 24)
	r := quarantine.Record{Fingerprint: 1 << 63, Route: name, Level: 9, Since: -1e11, Until: 1e11}
	for range quarantine.MaxAnnouncedEnds {
		r.Ends = append(r.Ends, quarantine.End{Process: quarantine.Process{Server: state.BackendName(name), Born: 1 << 60}, Domain: state.DomainName(name), At: -1e11})
	}
	_, err := Encode(key, &gossip.Message{From: state.InstanceName(name), Region: state.RegionName(name), Evidence: []quarantine.Record{r}})
	g.Expect(err).NotTo(HaveOccurred())
}
