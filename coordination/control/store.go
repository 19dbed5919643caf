package control

import (
	"azurebridge/coordination/homelease"
	"azurebridge/state"
)

// StoreKind is the kind of a store operation.
type StoreKind uint8

// The kinds of store operation.
const (
	StoreRead StoreKind = iota + 1
	StoreCAS
)

// StoreOp is an operation on one key of the store. Values are typed; transport encodes them.
type StoreOp struct {
	ID      uint64
	Kind    StoreKind
	Key     string
	Version uint64            // expected by StoreCAS; 0 creates the key only if it is absent
	Record  *homelease.Record // to write to, or expected under, a key of homelease.Key
}

// Stored is the result of a StoreOp: the value that the store holds now, or why it is not known. After a failed
// StoreCAS the write may or may not have taken effect.
type Stored struct {
	Op      StoreOp
	Version uint64            // 0 when the key does not exist
	Record  *homelease.Record // nil when the key does not exist
	Err     error
}

func (Stored) event() {}

// takeOps moves the cores' store operations to Ready.
func (c *Core) takeOps() {
	for _, op := range c.election.TakeOps() {
		c.opID++
		r := op.Record
		r.Region = op.Region
		so := StoreOp{ID: c.opID, Kind: StoreRead, Key: homelease.Key(op.Region), Record: &r}
		if op.Write {
			so.Kind, so.Version = StoreCAS, op.Record.Number
		}
		c.ready.Store = append(c.ready.Store, so)
	}
}

// stored passes the result of an operation to the core that asked for it.
func (c *Core) stored(now state.Instant, ev Stored) {
	if ev.Err != nil {
		c.Stats.LostOps++
	}
	if ev.Op.Record != nil {
		op := homelease.Op{Region: ev.Op.Record.Region, Write: ev.Op.Kind == StoreCAS, Record: *ev.Op.Record}
		current := homelease.Record{Region: op.Region}
		if ev.Record != nil {
			current = *ev.Record
		}
		current.Number = ev.Version
		c.election.Stored(now, op, current, ev.Err != nil)
	}
}
