package control

import (
	"fmt"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/message"
	"azurebridge/coordination/rollout"
	"azurebridge/state"
)

// Configured brings an accepted and decoded configuration: accepted by this instance, read from the store, or received
// from an instance. Without Item it takes effect here and is not passed on.
type Configured struct {
	Config   *state.Config
	Item     rollout.Item
	Accepted bool // this instance carried the apply
}

// Undecodable tells that a configuration of ConfigWork could not be decoded.
type Undecodable struct{ Digest rollout.Digest }

// Recall asks for a configuration that is or was in force. The core calls Done once, on the control goroutine.
type Recall struct {
	Revision state.Revision
	Done     func(it rollout.Item, known bool)
}

func (Configured) event()  {}
func (Undecodable) event() {}
func (Recall) event()      {}

// ConfigWork is the work on configurations that the core wants done.
type ConfigWork struct {
	Open  []rollout.Item // to decode, each answered by Configured or Undecodable
	Watch bool           // whether this instance watches the store
}

// ConfigWorker does ConfigWork. Its methods must not block; a dropped item is handed out again.
type ConfigWorker interface {
	Open(it rollout.Item)
	Watch(on bool)
}

// SetConfigWorker sets who does the work on configurations. Call it before Run.
func (l *Loop) SetConfigWorker(w ConfigWorker) { l.configs = w }

func (l *Loop) handConfig(w ConfigWork) {
	if l.configs == nil {
		return
	}
	l.configs.Watch(w.Watch)
	for _, it := range w.Open {
		l.configs.Open(it)
	}
}

// configState is the part of the core that deals with configurations.
type configState struct {
	core   *rollout.Core
	ranked []state.Instance // the list that the rollout has
}

func newConfigState(self state.Instance) configState { return configState{core: rollout.New(self)} }

func (c *Core) stepConfig(now state.Instant, ev Event) {
	switch ev := ev.(type) {
	case Configured:
		if len(ev.Item.Data) > 0 {
			c.rollout.core.Adopt(now, ev.Item, ev.Accepted)
		}
		c.configure(ev.Config)
	case Undecodable:
		c.rollout.core.Reject(ev.Digest)
	case Recall:
		it, known := c.rollout.core.Recall(ev.Revision)
		ev.Done(it, known)
	}
}

// configure takes a configuration into force. Invariant config-final: the revision in force never decreases.
func (c *Core) configure(cfg *state.Config) {
	if cfg.Revision <= c.config.Revision {
		c.Stats.OldRevisions++
		return
	}
	c.config = cfg
	c.index = state.NewIndex(cfg)
	c.changed = true
	if c.home != nil {
		c.home.ApplyConfig(cfg, c.index)
	}
}

func (c *Core) tickConfig(now state.Instant) {
	s := &c.rollout
	if list := c.table.Instances(); !sameList(s.ranked, list) {
		if !sameMembers(s.ranked, list) {
			s.core.Members(now, list)
		}
		s.ranked = list
	}
	s.core.Tick(now)
}

// sameMembers reports whether two lists give the same ranking: a new incarnation or address does not change it.
func sameMembers(a, b []state.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Region != b[i].Region || a[i].Status != b[i].Status {
			return false
		}
	}
	return true
}

func (c *Core) deliverConfig(now state.Instant, from state.InstanceName, b message.Body) {
	switch m := b.(type) {
	case *message.ConfigOffer:
		c.learn(now, from, m.Sender)
		c.rollout.core.Offer(now, from, m)
	case *message.ConfigPull:
		c.rollout.core.Pull(from, m)
	case *message.ConfigPush:
		c.rollout.core.Push(now, from, m)
	}
}

// learn adds an instance that sent an offer while no list of instances has arrived, so that an instance which starts
// during an outage of the platform can answer its peers.
func (c *Core) learn(now state.Instant, from state.InstanceName, sender *state.Instance) {
	if !c.table.Complete() && sender != nil && sender.Name == from {
		c.table.Announced(now, *sender)
	}
}

func (c *Core) collectConfig() {
	for _, o := range c.rollout.core.TakeOutbound() {
		c.post([]admission.Outbound{{To: o.To, Body: o.Body}})
	}
	c.ready.Config.Watch = c.rollout.core.Reader()
	c.ready.Config.Open = append(c.ready.Config.Open, c.rollout.core.TakeOpens()...)
}

// ConfigDump is the state of the configuration at one instance, for people.
type ConfigDump struct {
	Revision  state.Revision       `json:"revision"`
	Author    string               `json:"author"`
	Digest    string               `json:"digest"`
	Bytes     int                  `json:"bytes"` // encoded
	Receiving state.Revision       `json:"receiving,omitempty"`
	Reader    bool                 `json:"reader"` // this instance watches the store
	Readers   []state.InstanceName `json:"readers"`
	Stats     rollout.Stats        `json:"stats"`
}

func (c *Core) dumpConfig() ConfigDump {
	r := c.rollout.core
	it := r.Current()
	d := ConfigDump{
		Revision: c.config.Revision, Author: c.config.Author, Bytes: len(it.Data), Receiving: r.Receiving(),
		Reader: r.Reader(), Readers: r.Readers(), Stats: r.Stats,
	}
	if it.Revision > 0 {
		d.Digest = digits(it.Digest)
	}
	return d
}

// digits writes a digest in hexadecimal, for people.
func digits(d rollout.Digest) string { return fmt.Sprintf("%x", d[:]) }
