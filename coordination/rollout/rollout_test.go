package rollout_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/coordination/message"
	"azurebridge/coordination/rollout"
	"azurebridge/internal/proptest"
	"azurebridge/state"
)

func TestMain(m *testing.M) { proptest.Main(m, 100, 30) }

type envelope struct {
	from, to state.InstanceName
	body     message.Body
}

// fleet is a set of instances with a network that loses, repeats and reorders messages, and a store.
type fleet struct {
	t            *rapid.T
	now          state.Instant
	list         []state.Instance
	cores        []*rollout.Core
	lastRevision []state.Revision // last revision seen at the running incarnation of each instance
	network      []envelope
	accepted     map[state.Revision]rollout.Item
	head         state.Revision // in the store
	storeUp      bool
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, accepted: make(map[state.Revision]rollout.Item), storeUp: true}
	for i := range rapid.IntRange(2, 9).Draw(t, "instances") {
		f.list = append(f.list, state.Instance{
			Name: state.InstanceName(fmt.Sprint("i", i)), Region: state.RegionName(fmt.Sprint("r", i%3)), Status: state.InstanceLive,
		})
		f.cores = append(f.cores, nil)
		f.lastRevision = append(f.lastRevision, 0)
		f.start(i)
	}
	return f
}

// start replaces instance i by a new incarnation, which reads the store if it is up, as every instance does at its start.
func (f *fleet) start(i int) {
	f.list[i].Incarnation++
	f.cores[i], f.lastRevision[i] = rollout.New(f.list[i]), 0
	f.cores[i].SetInstances(f.now, f.list)
	f.readStore(i)
	f.collect(i, false)
}

func (f *fleet) readStore(i int) {
	if f.storeUp && f.head > f.cores[i].Current().Revision {
		f.cores[i].Adopt(f.now, f.accepted[f.head], false)
	}
}

// accept writes the next revision to the store through instance i.
func (f *fleet) accept(i, size int) {
	if !f.storeUp {
		return
	}
	f.head++
	f.accepted[f.head] = rollout.NewItem(f.head, bytes.Repeat([]byte{byte(f.head)}, size))
	f.cores[i].Adopt(f.now, f.accepted[f.head], true)
	f.collect(i, false)
}

// collect decodes the configurations and queues the messages of instance i, and checks the invariants. With lossy set,
// one in five decodes gives no result.
func (f *fleet) collect(i int, lossy bool) {
	c := f.cores[i]
	for _, it := range c.TakeUndecoded() {
		if !lossy || rapid.IntRange(0, 4).Draw(f.t, "decode") > 0 {
			c.Adopt(f.now, it, false)
		}
	}
	for _, o := range c.TakeOutbound() {
		f.network = append(f.network, envelope{f.list[i].Name, o.To, o.Body})
	}
	it := c.Current()
	if it.Revision < f.lastRevision[i] {
		f.t.Fatalf("%s: revision decreased from %d to %d", f.list[i].Name, f.lastRevision[i], it.Revision)
	}
	f.lastRevision[i] = it.Revision
	if it.Revision > 0 && !bytes.Equal(it.Data, f.accepted[it.Revision].Data) {
		f.t.Fatalf("%s: content of revision %d differs from the accepted one", f.list[i].Name, it.Revision)
	}
}

func (f *fleet) deliver(e envelope, lossy bool) {
	for i := range f.list {
		if f.list[i].Name != e.to {
			continue
		}
		switch m := e.body.(type) {
		case *message.ConfigOffer:
			f.cores[i].Offer(f.now, e.from, m)
		case *message.ConfigPull:
			f.cores[i].Pull(e.from, m)
		case *message.ConfigPush:
			f.cores[i].Push(f.now, e.from, m)
		}
		f.collect(i, lossy)
	}
}

// step performs one random action.
func (f *fleet) step() {
	i := rapid.IntRange(0, len(f.cores)-1).Draw(f.t, "instance")
	switch rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "deliver", "lose", "repeat", "tick", "tick", "accept", "restart", "store", "read", "stale"}).Draw(f.t, "step") {
	case "accept":
		f.accept(i, rapid.SampledFrom([]int{10, message.MaxConfigPart, 5*message.MaxConfigPart + 1}).Draw(f.t, "size"))
	case "restart":
		f.start(i)
	case "store":
		f.storeUp = !f.storeUp
	case "read":
		if f.cores[i].Reader() {
			f.readStore(i)
			f.collect(i, true)
		}
	case "stale": // the late result of a store read
		if f.head > 0 {
			f.cores[i].Adopt(f.now, f.accepted[state.Revision(rapid.Uint64Range(1, uint64(f.head)).Draw(f.t, "revision"))], false)
			f.collect(i, true)
		}
	case "tick":
		f.tick(time.Duration(rapid.IntRange(1, 1500).Draw(f.t, "ms"))*time.Millisecond, true)
	case "lose":
		f.takeMessage()
	case "repeat":
		if e, ok := f.takeMessage(); ok {
			f.network = append(f.network, e, e)
		}
	case "deliver":
		if e, ok := f.takeMessage(); ok {
			f.deliver(e, true)
		}
	}
}

// takeMessage removes a random message, so that messages are reordered.
func (f *fleet) takeMessage() (envelope, bool) {
	n := len(f.network)
	if n == 0 {
		return envelope{}, false
	}
	k := rapid.IntRange(0, n-1).Draw(f.t, "message")
	e := f.network[k]
	f.network[k] = f.network[n-1]
	f.network = f.network[:n-1]
	return e, true
}

func (f *fleet) tick(d time.Duration, lossy bool) {
	f.now = f.now.Add(d)
	for i, c := range f.cores {
		c.Tick(f.now)
		f.collect(i, lossy)
	}
}

// settle runs without faults for the duration d.
func (f *fleet) settle(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.tick(200*time.Millisecond, false)
		for len(f.network) > 0 {
			batch := f.network
			f.network = nil
			for _, e := range batch {
				f.deliver(e, false)
			}
		}
		for i, c := range f.cores {
			if c.Reader() {
				f.readStore(i)
				f.collect(i, false)
			}
		}
	}
}

// highest returns the highest revision at any instance, or in the store if it is up.
func (f *fleet) highest() state.Revision {
	var best state.Revision
	for _, c := range f.cores {
		best = max(best, c.Current().Revision)
	}
	if f.storeUp {
		best = max(best, f.head)
	}
	return best
}

// Guards against a revision that decreases, content that was not accepted, and an accepted revision that does not reach
// every instance once messages get through again, with or without the store.
func TestRevisionsSpreadAndNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			f.step()
		}
		f.storeUp = rapid.Bool().Draw(t, "store up")
		f.start(rapid.IntRange(0, len(f.cores)-1).Draw(t, "restarted"))
		before := f.highest()
		f.settle(40 * time.Second)
		want := f.highest() // a message in flight may have carried a higher one
		if want < before {
			t.Fatalf("revision %d was lost, highest is %d", before, want)
		}
		for i, c := range f.cores {
			if c.Current().Revision != want {
				t.Fatalf("%s has revision %d, want %d (receiving %d, %+v)", f.list[i].Name, c.Current().Revision, want, c.Receiving(), c.Stats)
			}
		}
	})
}

// Guards against a configuration that is decoded from parts of the wrong size or number or although its digest differs.
func TestBadPartsAreRefused(t *testing.T) {
	g := NewWithT(t)
	c := rollout.New(state.Instance{Name: "a", Region: "r"})
	it := rollout.NewItem(3, []byte("content"))
	push := func(change func(*message.ConfigPush)) {
		m := &message.ConfigPush{Revision: it.Revision, Digest: it.Digest, Size: len(it.Data), Data: it.Data}
		change(m)
		c.Push(0, "b", m)
	}
	push(func(m *message.ConfigPush) { m.Data = m.Data[:3] })
	push(func(m *message.ConfigPush) { m.Part = 1 })
	push(func(m *message.ConfigPush) { m.Part = -1 })
	push(func(m *message.ConfigPush) { m.Size = rollout.MaxData + 1 })
	push(func(m *message.ConfigPush) { m.Data = []byte("CONTENT") })
	g.Expect(c.TakeUndecoded()).To(BeEmpty())
	g.Expect(c.Stats.Refused).To(Equal(uint64(4)))
	g.Expect(c.Stats.Corrupt).To(Equal(uint64(1)))
	push(func(*message.ConfigPush) {})
	g.Expect(c.TakeUndecoded()).To(Equal([]rollout.Item{it}))
}

// Guards against a transfer that stops at a lost part or keeps asking an instance that has left, and against a lost decode
// that is not retried.
func TestLostPartsAndDecodesAreRetried(t *testing.T) {
	g := NewWithT(t)
	c := rollout.New(state.Instance{Name: "a", Region: "r"})
	it := rollout.NewItem(3, bytes.Repeat([]byte("x"), 3*message.MaxConfigPart))
	push := func(n int) {
		c.Push(0, "b", &message.ConfigPush{Revision: 3, Digest: it.Digest, Size: len(it.Data), Part: n, Data: it.Data[:message.MaxConfigPart]})
	}
	pull := func(to state.InstanceName, part, count int) rollout.Outbound {
		return rollout.Outbound{To: to, Body: &message.ConfigPull{Revision: 3, Digest: it.Digest, Part: part, Count: count}}
	}
	for _, from := range []state.InstanceName{"b", "c"} {
		c.Offer(0, from, &message.ConfigOffer{Revision: 3, Digest: it.Digest, Size: len(it.Data)})
	}
	g.Expect(c.TakeOutbound()).To(Equal([]rollout.Outbound{pull("b", 0, 3)}))
	push(0)
	push(2)
	g.Expect(c.TakeOutbound()).To(BeEmpty())
	now := state.Instant(0).Add(rollout.PullTimeout)
	c.Tick(now)
	g.Expect(c.TakeOutbound()).To(Equal([]rollout.Outbound{pull("c", 1, 2)}))
	push(1)
	g.Expect(c.TakeUndecoded()).To(Equal([]rollout.Item{it}))
	c.Tick(now.Add(rollout.DecodeTimeout))
	g.Expect(c.TakeUndecoded()).To(Equal([]rollout.Item{it}))
	g.Expect(c.Current().Revision).To(BeZero())
	g.Expect(c.Adopt(now, it, false)).To(BeTrue())
	g.Expect(c.Receiving()).To(BeZero())
}

// Guards against a number of store watches that grows with the fleet.
func TestTwoReadersInEachRegion(t *testing.T) {
	g := NewWithT(t)
	var list []state.Instance
	for i := range 60 {
		list = append(list, state.Instance{Name: state.InstanceName(fmt.Sprint(i)), Region: state.RegionName(fmt.Sprint("r", i%3)), Status: state.InstanceLive})
	}
	readers := make(map[state.RegionName]int)
	for _, in := range list {
		c := rollout.New(in)
		c.SetInstances(0, list)
		if c.Reader() {
			readers[in.Region]++
		}
	}
	g.Expect(readers).To(Equal(map[state.RegionName]int{"r0": 2, "r1": 2, "r2": 2}))
}
