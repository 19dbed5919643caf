package factwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/protocol/gossipwire"
	"azurebridge/state"
	"azurebridge/state/routing"
)

var key = []byte("0123456789abcdef0123456789abcdef")

func sample() *Facts {
	table := &routing.Table{
		Version: 7, Services: map[state.ServiceName]routing.Service{"search": {ColdRate: 5.6}},
		Routes: []routing.Route{{
			Name: "a", Host: "x.example", Prefix: "/a/", Idempotent: true, Timeout: time.Second, MaxAttempts: 2, Affinity: true,
			Parts: []routing.Part{{Service: "search", Weight: 1}}, Regions: []state.RegionName{"north"},
		}},
	}
	table.Index()
	return &Facts{After: catalog.Revision{Number: 6}, Revision: catalog.Revision{Number: 9}, Age: time.Second, Items: []catalog.Item{
		{Key: "config", Fact: table},
		{Key: "server", Fact: &routing.Backend{Name: "s-1", Service: "search", Slots: 4, ColdUntil: state.Instant(time.Second)}},
		{Key: "evacuation", Fact: catalog.Evacuation{Domain: "north-a"}},
		{Key: "peer", Fact: &routing.Peer{Name: "front-1"}},
		{Key: "key", Fact: catalog.FleetKey(key)},
		{Key: "change", Fact: &routing.TableChange{From: 6, Version: 7, Routes: table.Routes, Removed: []string{"b"}, Services: table.Services}},
		{Key: "gone"},
	}}
}

// Guards against facts that are changed or lost in encoding. An instance that the store rejects depends on them.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	data, err := Encode(key, sample())
	g.Expect(err).NotTo(HaveOccurred())
	for _, verifyKey := range [][]byte{key, nil} {
		got, err := Decode(verifyKey, data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(sample()))
	}
}

// Guards against accepting facts that were signed with another key, or facts that are not valid.
func TestWronglySignedOrInvalidFactsAreRejected(t *testing.T) {
	g := NewWithT(t)
	data, err := Encode([]byte("another"), sample())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Decode(key, data)
	g.Expect(err).To(HaveOccurred())
	invalid := sample()
	invalid.Items[0].Fact.(*routing.Table).Routes[0].Prefix = "a"
	data, err = Encode(key, invalid)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Decode(key, data)
	g.Expect(err).To(MatchError(ContainSubstring("prefix")))
}

// Guards against a crash on arbitrary bytes, and against messages that are not the bytes of the stream.
func FuzzReadMessage(f *testing.F) {
	f.Add(AppendMessage(AppendMessage(nil, []byte("first")), nil))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := bytes.NewReader(stream)
		var reencoded []byte
		for {
			message, err := ReadMessage(r)
			if err != nil {
				break
			}
			reencoded = AppendMessage(reencoded, message)
		}
		if !bytes.HasPrefix(stream, reencoded) {
			t.Fatalf("messages %x are not the beginning of the stream %x", reencoded, stream)
		}
	})
}

// Guards against accepting a stream that ends within a message, or one that announces a message longer than MaxSize.
func TestBrokenStreamIsAnError(t *testing.T) {
	g := NewWithT(t)
	whole := AppendMessage(nil, []byte("message"))
	message, err := ReadMessage(bytes.NewReader(whole))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(message).To(Equal([]byte("message")))
	for length := range len(whole) {
		_, err := ReadMessage(bytes.NewReader(whole[:length]))
		g.Expect(err).To(HaveOccurred(), "truncated after %d bytes", length)
	}
	_, err = ReadMessage(bytes.NewReader(binary.BigEndian.AppendUint32(nil, MaxSize+1)))
	g.Expect(err).To(MatchError(ContainSubstring("limit")))
}

// Guards against a crash on arbitrary bytes.
func FuzzDecode(f *testing.F) {
	data, err := Encode(nil, sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if facts, err := Decode(nil, data); err == nil && facts == nil {
			t.Fatal("neither facts nor error")
		}
	})
}

// Guards against large tables that saturate the links of readers because they are not compressed, against facts that
// compression changes, and against unbounded decompression.
func TestLargeFactsAreCompressed(t *testing.T) {
	g := NewWithT(t)
	table := &routing.Table{Version: 7, Services: map[state.ServiceName]routing.Service{"search": {ColdRate: 5.6}}}
	for i := range 1400 {
		r := sample().Items[0].Fact.(*routing.Table).Routes[0]
		r.Name, r.Prefix = fmt.Sprintf("r-%08x", i*2654435761), fmt.Sprintf("/%x/", i*40503)
		table.Routes = append(table.Routes, r)
	}
	table.Index()
	facts := &Facts{After: catalog.Revision{Number: 6}, Revision: catalog.Revision{Number: 9}, Items: []catalog.Item{{Key: "config", Fact: table}}}
	data, err := Encode(key, facts)
	g.Expect(err).NotTo(HaveOccurred())
	plain, err := cbor.Marshal(table)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", len(plain)/4))
	got, err := Decode(key, data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(facts))

	bomb, err := compress(make([]byte, MaxSize+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Decode(key, gossipwire.Sign(key, bomb))
	g.Expect(err).To(MatchError(ContainSubstring("longer than")))
	for _, data := range [][]byte{nil, {methodDeflate}, {methodDeflate, 1, 2}, {9, 1}} {
		_, err = Decode(key, gossipwire.Sign(key, data))
		g.Expect(err).To(HaveOccurred())
	}
}
