package routing

import "azurebridge/state"

// Backend is what a backend server announced about itself.
type Backend struct {
	Name      state.BackendName
	Service   state.ServiceName
	Address   string // IP address and port
	Domain    state.DomainName
	Region    state.RegionName
	Release   string // version of its software
	Slots     int    // requests that it runs at the same time
	Draining  bool   // it leaves and is to get no new requests
	Born      int64  // start of its process, in milliseconds since 1970; 0 if not announced
	Beat      int64  // number of the heartbeat that told this, since Born
	ColdUntil state.Instant
}

// Peer is one instance of the system, as it registered itself.
type Peer struct {
	Name           state.InstanceName
	Region         state.RegionName
	Domain         state.DomainName
	CallersAddress string // where callers connect
	PeerAddress    string // UDP, for messages between instances
	LinkMbps       int    // bandwidth of its link in Mbit/s; 0 if not known
}
