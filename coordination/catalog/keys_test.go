package catalog

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// Sizes of the world of TestRemovedKeysAreNotAdmitted.
const (
	keyInstances = 2
	keySteps     = 150
	keyCount     = 4
	keyBound     = 3 * time.Second // of strict revocation
	keyTableName = "table"
)

// keyWorld is a store, which may return from a copy, with instances that call it and each other. Calls are served and delivered in
// any order, or lost.
type keyWorld struct {
	now       state.Instant
	store     keyStore
	copies    []keyStore // that the store may return from
	versions  []*keyVersion
	instances []*keyInstance
	calls     []*keyCall
}

// keyVersion is a version of the configuration that the store has acknowledged.
type keyVersion struct {
	number routing.Version
	keys   map[int]bool
	at     state.Instant // when it was acknowledged
	lost   bool          // the store has returned from a copy without it
}

// keyStore is the content of the store with its history.
type keyStore struct {
	era     uint64
	history []Item // one for each revision from 1 on
}

func (s *keyStore) revision() Revision { return Revision{Era: s.era, Number: uint64(len(s.history))} }

// content returns the newest item of each key.
func (s *keyStore) content() []Item {
	newest := make(map[string]Item)
	for _, it := range s.history {
		newest[it.Key] = it
	}
	return slices.Collect(maps.Values(newest))
}

// keyInstance is an instance with what is known of it.
type keyInstance struct {
	core    *Core
	view    *View
	run     int           // number of its process
	contact state.Instant // begin of the latest call to the store whose answer it has; 0 for none
	version routing.Version
}

// keyCall is a call of an instance to the store or to another instance.
type keyCall struct {
	instance, run int
	begin         state.Instant
	kind          keyCallKind
	after         Revision // of a watch
	served        bool
	failed        bool
	events        []Event
	ofStore       bool
}

type keyCallKind int

const (
	listCall keyCallKind = iota
	watchCall
	proofCall
	relayCall // the changes that another instance does not have yet, as a reader sends them
	peerListCall
	peerProofCall
)

func newKeyWorld() *keyWorld {
	w := &keyWorld{now: testStart, store: keyStore{era: 1}}
	for range keyInstances {
		w.instances = append(w.instances, &keyInstance{})
	}
	for i := range w.instances {
		w.restart(i)
	}
	return w
}

// pass lets time pass. No two writes and begins of calls share an instant.
func (w *keyWorld) pass(d time.Duration) { w.now = w.now.Add(d) }

// restart replaces an instance's process by a new one, which knows nothing.
func (w *keyWorld) restart(i int) {
	c := newTestCore()
	w.instances[i] = &keyInstance{core: c, view: c.View(), run: w.instances[i].run + 1}
}

// put writes a new version of the configuration.
func (w *keyWorld) put(keys map[int]bool) {
	w.pass(1)
	v := &keyVersion{number: routing.Version(len(w.versions) + 1), keys: keys, at: w.now}
	w.versions = append(w.versions, v)
	table := &routing.Table{Version: v.number}
	for key := range keyCount {
		if keys[key] {
			table.Customers = append(table.Customers, routing.Customer{
				Name: state.CustomerName(fmt.Sprint("customer-", key)), Keys: []routing.KeyDigest{routing.Digest(fmt.Sprint(key))},
			})
		}
	}
	table.Index()
	w.store.history = append(w.store.history, Item{Key: keyTableName, Fact: table})
}

// restore returns the store to a copy. The versions that it lacks are lost.
func (w *keyWorld) restore(copied keyStore) {
	era := w.store.era + 1
	w.store = keyStore{era: era, history: slices.Clone(copied.history)}
	newest := tableIn(w.store.history)
	for _, v := range w.versions {
		v.lost = v.lost || v.number > newest
	}
	w.copies = nil // an older copy would bring back versions that this one has lost
}

// tableIn returns the version of the newest table in a history.
func tableIn(history []Item) routing.Version {
	for _, it := range slices.Backward(history) {
		if table, ok := it.Fact.(*routing.Table); ok {
			return table.Version
		}
	}
	return 0
}

// newestAt returns the newest version that the store had acknowledged at an instant and has not lost since.
func (w *keyWorld) newestAt(at state.Instant) routing.Version {
	var out routing.Version
	for _, v := range w.versions {
		if v.at <= at && !v.lost {
			out = v.number
		}
	}
	return out
}

// serve computes the answer of a call.
func (w *keyWorld) serve(c *keyCall, peer *keyInstance) {
	c.served = true
	revision := w.store.revision()
	switch c.kind {
	case listCall:
		c.ofStore = true
		c.events = []Event{Listed{Source: FromListing, Revision: revision, Items: w.store.content()}}
	case watchCall:
		if c.failed = c.after.Era != w.store.era || c.after.Number > revision.Number; !c.failed {
			c.ofStore = true
			c.events = []Event{Changed{Source: FromWatch, After: c.after, Revision: revision, Items: w.store.history[c.after.Number:]}}
		}
	case relayCall:
		after := peer.core.revision
		if c.failed = after.Era != w.store.era; !c.failed {
			c.events = []Event{Changed{Source: FromReader, After: after, Revision: revision, Items: w.store.history[after.Number:]}}
		}
	case proofCall:
		c.events = []Event{Verified{At: c.begin, Revision: revision}}
	case peerListCall:
		c.events = []Event{Listed{Source: FromInstance, Revision: peer.core.revision, Items: peer.core.items(w.now)}}
	case peerProofCall:
		if c.failed = peer.view.VerifiedAt == 0; !c.failed {
			c.events = []Event{Verified{At: c.begin.Add(-peer.view.Age(w.now)), Revision: peer.view.Revision}}
		}
	}
}

// deliver gives a served call's answer to its instance.
func (w *keyWorld) deliver(c *keyCall) {
	in := w.instances[c.instance]
	if c.failed || in.run != c.run {
		return
	}
	for _, ev := range c.events {
		in.core.Step(w.now, ev)
	}
	if v := in.core.View(); v != nil {
		in.view = v
	}
	if c.ofStore {
		in.contact = max(in.contact, c.begin)
	}
}

// admits reports whether an instance takes a key for a customer's. With strict, its knowledge must not be older than keyBound.
func (w *keyWorld) admits(in *keyInstance, key int, strict bool) bool {
	if in.view.Table == nil || strict && in.view.Age(w.now) > keyBound {
		return false
	}
	return in.view.Table.CustomerOf(routing.Digest(fmt.Sprint(key))) != nil
}

// check fails when an instance admits a key that it must not.
func (w *keyWorld) check(t *rapid.T) {
	for i, in := range w.instances {
		version := routing.Version(0)
		if in.view.Table != nil {
			version = in.view.Table.Version
		}
		if version < in.version {
			t.Fatalf("instance %d went back from version %d to %d", i, in.version, version)
		}
		in.version = version
		if in.contact > 0 && version < w.newestAt(in.contact) {
			t.Fatalf("instance %d has version %d; its call at %s was answered by a store with version %d", i, version, time.Duration(in.contact), w.newestAt(in.contact))
		}
		for key := range keyCount {
			if w.admits(in, key, false) != (version > 0 && w.versions[version-1].keys[key]) {
				t.Fatalf("instance %d with version %d: key %d is admitted: %t", i, version, key, w.admits(in, key, false))
			}
			if w.admits(in, key, true) && version < w.newestAt(w.now.Add(-keyBound)) {
				t.Fatalf("instance %d admits key %d strictly by version %d; version %d is older than the bound", i, key, version, w.newestAt(w.now.Add(-keyBound)))
			}
		}
	}
}

func drawKeys(t *rapid.T) map[int]bool {
	keys := make(map[int]bool)
	for key := range keyCount {
		keys[key] = rapid.Bool().Draw(t, "key")
	}
	return keys
}

// Guards against requests that are admitted with a removed key: whatever the order of changes, calls and their losses, restarts and
// returns of the store from a copy, an instance admits exactly the keys of the newest version it knows, never goes back, has at
// least the version that the store had when its latest answered call began, and with strict revocation admits no key by a version
// that was replaced longer ago than the bound. Versions that the store itself has lost bind nobody.
func TestRemovedKeysAreNotAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newKeyWorld()
		actions := w.actions(t)
		for range keySteps {
			rapid.SampledFrom(actions).Draw(t, "action").run()
			w.check(t)
		}
	})
}

// keyAction is an action of the world.
type keyAction struct {
	name string
	run  func()
}

// String returns the action's name in the output of a failed test.
func (a keyAction) String() string { return a.name }

// actions returns the actions of the world; those that are drawn more often are repeated.
func (w *keyWorld) actions(t *rapid.T) []keyAction {
	instance := func() int { return rapid.IntRange(0, keyInstances-1).Draw(t, "instance") }
	call := func() {
		w.begin(instance(), keyCallKind(rapid.IntRange(0, int(peerProofCall)).Draw(t, "kind")))
	}
	whole := func() {
		call()
		c := w.calls[len(w.calls)-1]
		w.serve(c, w.instances[instance()])
		w.deliver(c)
		w.remove(c)
	}
	passTime := func() {
		w.pass(rapid.SampledFrom([]time.Duration{10 * time.Millisecond, keyBound / 4, keyBound / 2, keyBound}).Draw(t, "pass"))
	}
	serve := func() {
		if c := w.drawCall(t, false); c != nil {
			w.serve(c, w.instances[instance()])
		}
	}
	deliver := func() {
		if c := w.drawCall(t, true); c != nil {
			w.deliver(c)
			w.remove(c)
		}
	}
	lose := func() {
		if c := w.drawCall(t, true); c != nil {
			w.remove(c)
		}
	}
	restore := func() {
		if len(w.copies) > 0 {
			w.restore(rapid.SampledFrom(w.copies).Draw(t, "copy"))
		}
	}
	return []keyAction{
		{"call", call}, {"call", call}, {"call", call}, {"serve", serve}, {"serve", serve}, {"serve", serve},
		{"deliver", deliver}, {"deliver", deliver}, {"deliver", deliver}, {"lose", lose},
		{"whole call", whole}, {"whole call", whole}, {"whole call", whole}, {"time", passTime}, {"time", passTime},
		{"put", func() { w.put(drawKeys(t)) }},
		{"other change", func() { w.store.history = append(w.store.history, server(0)) }},
		{"copy", func() { w.copies = append(w.copies, keyStore{history: slices.Clone(w.store.history)}) }},
		{"restore", restore},
		{"restart", func() { w.restart(instance()) }},
	}
}

// begin begins a call of an instance.
func (w *keyWorld) begin(i int, kind keyCallKind) {
	in := w.instances[i]
	w.pass(1)
	if kind == watchCall && in.core.revision.IsZero() {
		kind = listCall
	}
	w.calls = append(w.calls, &keyCall{instance: i, run: in.run, begin: w.now, kind: kind, after: in.core.revision})
}

// drawCall returns one of the calls in progress that have or have not been served, or nil without one.
func (w *keyWorld) drawCall(t *rapid.T, served bool) *keyCall {
	var list []*keyCall
	for _, c := range w.calls {
		if c.served == served {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "call")]
}

func (w *keyWorld) remove(c *keyCall) {
	w.calls = slices.DeleteFunc(w.calls, func(o *keyCall) bool { return o == c })
}
