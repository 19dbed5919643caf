package message

import "azurebridge/state"

// HandedGrant is a running grant of a resigning home.
type HandedGrant struct {
	Holder      state.InstanceName
	Incarnation state.Incarnation
	Grant       HeldGrant
}

// GrantHandover carries the running grants of a home that resigned to its successor. The list is complete when all
// parts have arrived.
type GrantHandover struct {
	Region state.RegionName
	Epoch  Epoch // of the resigned home
	Part   int   // from 0
	Parts  int
	Grants []HandedGrant // at most MaxHandover
}

func (*GrantHandover) body() {}
