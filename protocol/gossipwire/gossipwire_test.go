package gossipwire

import (
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
)

var key = []byte("0123456789abcdef0123456789abcdef")

// Guards against a message that changes when it is encoded and decoded.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	m := &gossip.Message{From: "front-1", Region: "north", Revision: catalog.Revision{Era: 3, Number: 1 << 40}, EndedLimits: []catalog.LimitEnded{{Server: "s-1", Born: 1 << 41}}}
	data, err := Encode(key, m)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := Decode(key, data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(m))
}

// Guards against accepting messages from outside the fleet: a changed byte, another key and an empty key are all errors.
func TestWronglySignedMessagesAreRejected(t *testing.T) {
	g := NewWithT(t)
	data, err := Encode(key, &gossip.Message{From: "front-1", Revision: catalog.Revision{Number: 7}})
	g.Expect(err).NotTo(HaveOccurred())
	for i := range data {
		changed := append([]byte(nil), data...)
		changed[i] ^= 1
		_, err := Decode(key, changed)
		g.Expect(err).To(HaveOccurred(), "byte %d", i)
	}
	_, err = Decode([]byte("another"), data)
	g.Expect(err).To(HaveOccurred())
	_, err = Decode(nil, data)
	g.Expect(err).To(HaveOccurred())
	_, err = Encode(nil, &gossip.Message{})
	g.Expect(err).To(HaveOccurred())
}

// Guards against a crash on arbitrary data with a valid signature.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x83, 0x61, 'a', 0x61, 'b', 7})
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := Decode(key, append(data, computeMAC(key, data)...)); err == nil && m == nil {
			t.Fatal("neither message nor error")
		}
	})
}
