package control

import (
	"fmt"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/message"
	"azurebridge/coordination/rollout"
	"azurebridge/state"
)

// Configured is the event that delivers an accepted and decoded configuration: accepted by this instance, read from the
// store, or received from another instance. If Item has no data, the configuration takes effect here only and is not sent to
// other instances.
type Configured struct {
	Config   *state.Config
	Item     rollout.Item
	Accepted bool // this instance handled the operator's apply request
}

// Undecodable reports that a configuration of ConfigWork.Decode could not be decoded.
type Undecodable struct{ Digest rollout.Digest }

// FindRevision asks for the configuration of a revision, current or earlier. The core calls Done once, on the control goroutine;
// known is false if the configuration is not retained.
type FindRevision struct {
	Revision state.Revision
	Done     func(it rollout.Item, known bool)
}

func (Configured) event()   {}
func (Undecodable) event()  {}
func (FindRevision) event() {}

// ConfigWork is the pending work on configurations, for a ConfigWorker to carry out.
type ConfigWork struct {
	Decode []rollout.Item // to decode; each must be answered by Configured or Undecodable
	Watch  bool           // whether this instance must watch the store
}

// ConfigWorker carries out ConfigWork. Its methods must not block. It may drop an item to decode; the core hands it
// out again after rollout.DecodeTimeout.
type ConfigWorker interface {
	Decode(it rollout.Item)
	Watch(on bool)
}

// UseConfigWorker sets the worker for configurations. It must be called before Run.
func (l *Loop) UseConfigWorker(w ConfigWorker) { l.configs = w }

func (l *Loop) dispatchConfig(w ConfigWork) {
	if l.configs == nil {
		return
	}
	l.configs.Watch(w.Watch)
	for _, it := range w.Decode {
		l.configs.Decode(it)
	}
}

// configState is the configuration part of the core.
type configState struct {
	core      *rollout.Core
	instances []state.Instance // last list that tickConfig compared
}

func newConfigState(self state.Instance) configState { return configState{core: rollout.New(self)} }

func (c *Core) stepConfig(now state.Instant, ev Event) {
	switch ev := ev.(type) {
	case Configured:
		if len(ev.Item.Data) > 0 {
			c.rollout.core.Adopt(now, ev.Item, ev.Accepted)
		}
		c.applyConfig(ev.Config)
	case Undecodable:
		c.rollout.core.Reject(ev.Digest)
	case FindRevision:
		it, known := c.rollout.core.FindRevision(ev.Revision)
		ev.Done(it, known)
	}
}

// applyConfig puts a configuration into force. Invariant config-final: the revision in force never decreases.
func (c *Core) applyConfig(cfg *state.Config) {
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
	if list := c.table.Instances(); !sameSlice(s.instances, list) {
		if !sameMembers(s.instances, list) {
			s.core.SetInstances(now, list)
		}
		s.instances = list
	}
	s.core.Tick(now)
}

// sameMembers reports whether two lists have the same names, regions and statuses. Rankings of instances depend on these
// only, not on incarnations and addresses.
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
		c.addSender(now, from, m.Sender)
		c.rollout.core.Offer(now, from, m)
	case *message.ConfigPull:
		c.rollout.core.Pull(from, m)
	case *message.ConfigPush:
		c.rollout.core.Push(now, from, m)
	}
}

// addSender adds the sender of an offer to the table while no list of instances has arrived, so that an instance that
// starts during an outage of the platform can answer its peers.
func (c *Core) addSender(now state.Instant, from state.InstanceName, sender *state.Instance) {
	if !c.table.Complete() && sender != nil && sender.Name == from {
		c.table.ApplyHeartbeat(now, *sender)
	}
}

func (c *Core) collectConfig() {
	for _, o := range c.rollout.core.TakeOutbound() {
		c.send([]admission.Outbound{{To: o.To, Body: o.Body}})
	}
	c.ready.Config.Watch = c.rollout.core.Reader()
	c.ready.Config.Decode = append(c.ready.Config.Decode, c.rollout.core.TakeUndecoded()...)
}

// ConfigDump is the configuration state of one instance as shown to operators.
type ConfigDump struct {
	Revision  state.Revision       `json:"revision"`
	Author    string               `json:"author"`
	Digest    string               `json:"digest"`
	Bytes     int                  `json:"bytes"` // size when encoded
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
		d.Digest = hexDigest(it.Digest)
	}
	return d
}

// hexDigest formats a digest in hexadecimal for dumps.
func hexDigest(d rollout.Digest) string { return fmt.Sprintf("%x", d[:]) }
