package control

import (
	"azurebridge/coordination/homelease"
	"azurebridge/state"
)

// StoreKind is the kind of a store operation.
type StoreKind uint8

// StoreRead reads a key. StoreCAS writes it if its version is still StoreOp.Version.
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
	Record  *homelease.Record // to write under Key, made by homelease.Key; StoreRead uses only its Region
}

// Stored is the result of a StoreOp: the current value in the store, or the error if it is unknown. After a failed StoreCAS
// the write may or may not have taken effect.
type Stored struct {
	Op      StoreOp
	Version uint64            // 0 when the key does not exist
	Record  *homelease.Record // nil when the key does not exist
	Err     error
}

func (Stored) event() {}

// collectStoreOps moves the cores' store operations to Ready.
func (c *Core) collectStoreOps() {
	for _, op := range c.election.TakeOps() {
		c.opID++
		r := op.Record
		r.Region = op.Region
		storeOp := StoreOp{ID: c.opID, Kind: StoreRead, Key: homelease.Key(op.Region), Record: &r}
		if op.Write {
			storeOp.Kind, storeOp.Version = StoreCAS, op.Record.Number
		}
		c.ready.Store = append(c.ready.Store, storeOp)
	}
}

// handleStored passes the result of a store operation to the election.
func (c *Core) handleStored(now state.Instant, ev Stored) {
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
		c.election.OpDone(now, op, current, ev.Err != nil)
	}
}
