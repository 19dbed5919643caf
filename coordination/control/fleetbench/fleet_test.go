package fleetbench_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/control/fleetbench"
	"azurebridge/coordination/message"
)

// newFleet returns a fleet whose frames are three bytes long: the index of the message in a list of all sent messages.
func newFleet(n int) *fleetbench.Fleet {
	var sent []*message.Envelope
	return fleetbench.New(fleetbench.Options{
		Instances: n, Regions: 2, Domains: 4,
		Encode: func(e *message.Envelope) ([]byte, error) {
			sent = append(sent, e)
			i := len(sent) - 1
			return []byte{byte(i), byte(i >> 8), byte(i >> 16)}, nil
		},
		Decode: func(b []byte) (*message.Envelope, error) { return sent[int(b[0])|int(b[1])<<8|int(b[2])<<16], nil },
	})
}

// Guards against measuring a fleet that does not work: one without homes, or one where changes do not reach all instances.
func TestFleetAppliesChangesAndCountsMessages(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8)
	f.Run(10 * time.Second)
	homes := func() int {
		n := 0
		for _, m := range f.Members {
			if m.Home() {
				n++
			}
		}
		return n
	}
	g.Expect(homes()).To(Equal(2))
	accepted := f.Now
	f.Apply(f.Members[3], 1, 100)
	f.Run(8 * time.Second)
	n, took := f.InForce(1, accepted)
	g.Expect(n).To(Equal(8))
	g.Expect(took).To(BeNumerically("<", 8*time.Second))
	f.Reset()
	for _, m := range f.Members {
		if m.Home() {
			f.Kill(m)
		}
	}
	f.Run(5 * time.Second)
	g.Expect(homes()).To(Equal(2))
	for _, m := range f.Members {
		if m.Down {
			g.Expect(m.Usage.Sent).To(BeZero())
			f.Restart(m)
		} else {
			g.Expect(m.Usage.SentBytes).To(Equal(7 * m.Usage.Sent))
		}
	}
	f.Run(5 * time.Second)
	n, _ = f.InForce(1, accepted)
	g.Expect(n).To(Equal(8))
}
