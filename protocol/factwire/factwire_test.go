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
	return &Facts{After: 6, Revision: 9, Age: time.Second, Items: []catalog.Item{
		{Key: "config", Fact: table},
		{Key: "server", Fact: &routing.Backend{Name: "s-1", Service: "search", Slots: 4, ColdUntil: state.Instant(time.Second)}},
		{Key: "evacuation", Fact: catalog.Evacuation{Domain: "north-a"}},
		{Key: "peer", Fact: &routing.Peer{Name: "front-1"}},
		{Key: "key", Fact: catalog.FleetKey(key)},
		{Key: "change", Fact: &routing.TableChange{From: 6, Version: 7, Routes: table.Routes, Removed: []string{"b"}, Services: table.Services}},
		{Key: "gone"},
	}}
}

// Guards against facts that change or are lost on the way to an instance that the store turns away.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	data, err := Encode(key, sample())
	g.Expect(err).NotTo(HaveOccurred())
	for _, known := range [][]byte{key, nil} {
		got, err := Decode(known, data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(sample()))
	}
}

// Guards against facts of others, and against facts that are not valid.
func TestForeignFactsAreRefused(t *testing.T) {
	g := NewWithT(t)
	data, err := Encode([]byte("another"), sample())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Decode(key, data)
	g.Expect(err).To(HaveOccurred())
	bad := sample()
	bad.Items[0].Fact.(*routing.Table).Routes[0].Prefix = "a"
	data, err = Encode(key, bad)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Decode(key, data)
	g.Expect(err).To(MatchError(ContainSubstring("prefix")))
}

// Guards against a crash on any bytes.
func FuzzReadMessage(f *testing.F) {
	f.Add(AppendMessage(AppendMessage(nil, []byte("first")), nil))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := bytes.NewReader(stream)
		var again []byte
		for {
			message, err := ReadMessage(r)
			if err != nil {
				break
			}
			again = AppendMessage(again, message)
		}
		if !bytes.HasPrefix(stream, again) {
			t.Fatalf("messages %x are not those of the stream %x", again, stream)
		}
	})
}

// Guards against a stream that ends within a message, or claims one that is too large.
func TestBrokenStreamIsAnError(t *testing.T) {
	g := NewWithT(t)
	whole := AppendMessage(nil, []byte("message"))
	message, err := ReadMessage(bytes.NewReader(whole))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(message).To(Equal([]byte("message")))
	for cut := range len(whole) {
		_, err := ReadMessage(bytes.NewReader(whole[:cut]))
		g.Expect(err).To(HaveOccurred(), "cut after %d bytes", cut)
	}
	_, err = ReadMessage(bytes.NewReader(binary.BigEndian.AppendUint32(nil, MaxSize+1)))
	g.Expect(err).To(MatchError(ContainSubstring("limit")))
}

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

// Guards against large tables that fill the links of readers, against facts that change when they are compressed, and against
// data that grows without bound when it is decompressed.
func TestLargeFactsAreCompressed(t *testing.T) {
	g := NewWithT(t)
	table := &routing.Table{Version: 7, Services: map[state.ServiceName]routing.Service{"search": {ColdRate: 5.6}}}
	for i := range 1400 {
		r := sample().Items[0].Fact.(*routing.Table).Routes[0]
		r.Name, r.Prefix = fmt.Sprintf("r-%08x", i*2654435761), fmt.Sprintf("/%x/", i*40503)
		table.Routes = append(table.Routes, r)
	}
	table.Index()
	facts := &Facts{After: 6, Revision: 9, Items: []catalog.Item{{Key: "config", Fact: table}}}
	data, err := Encode(key, facts)
	g.Expect(err).NotTo(HaveOccurred())
	plain, err := cbor.Marshal(table)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", len(plain)/4))
	got, err := Decode(key, data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(facts))

	bomb, err := pack(make([]byte, MaxSize+1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Decode(key, gossipwire.Sign(key, bomb))
	g.Expect(err).To(MatchError(ContainSubstring("longer than")))
	for _, data := range [][]byte{nil, {formDeflate}, {formDeflate, 1, 2}, {9, 1}} {
		_, err = Decode(key, gossipwire.Sign(key, data))
		g.Expect(err).To(HaveOccurred())
	}
}
