package gossipwire

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/coordination/quota"
	"azurebridge/state"
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

// Guards against a message about permits that changes when it is encoded and decoded, and against a count or a time beyond its bound.
func TestPermitMessagesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	trip := func(m gossip.PermitMessage) *gossip.PermitMessage {
		data, err := Encode(key, &gossip.Message{From: "front-1", Region: "north", Permits: &m})
		g.Expect(err).NotTo(HaveOccurred())
		got, err := Decode(key, data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.From).To(Equal(state.InstanceName("front-1")))
		g.Expect(got.Region).To(Equal(state.RegionName("north")))
		return got.Permits
	}
	for _, m := range []gossip.PermitMessage{
		{Apart: true},
		{Apart: true, Ask: &quota.Ask{ID: 1 << 63, From: "front-1", Customer: "large", Count: 7}},
		{Granted: &quota.Granted{ID: 1 << 62, Count: 7}},
		{Granted: &quota.Granted{ID: 3, RetryAfter: 250 * time.Millisecond}},
		{Granted: &quota.Granted{ID: 3, NotOwner: true}},
	} {
		g.Expect(*trip(m)).To(Equal(m))
	}
	g.Expect(trip(gossip.PermitMessage{Granted: &quota.Granted{Count: 1 << 30}}).Granted.Count).To(Equal(quota.MaxBatch))
	g.Expect(trip(gossip.PermitMessage{Granted: &quota.Granted{RetryAfter: time.Hour}}).Granted.RetryAfter).To(Equal(quota.MaxRefusal))
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
	f.Add([]byte{permitFrameHead, 0x61, 'a', 0x61, 'b', 1, 0xf4, 7, 0x61, 'c', 1, 0xf4, 0})
	f.Add([]byte{0x83, 0x61, 'a', 0x61, 'b', 7})
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := Decode(key, append(data, computeMAC(key, data)...)); err == nil && m == nil {
			t.Fatal("neither message nor error")
		}
	})
}
