package routing

import "azurebridge/state"

// Backend holds what a backend server announced about itself.
type Backend struct {
	Name      state.BackendName
	Service   state.ServiceName
	Address   string // IP address and port
	Domain    state.DomainName
	Region    state.RegionName
	Release   string        // software version
	Slots     int           // max number of requests that it runs at the same time
	Draining  bool          // it is leaving and must get no new requests
	Born      int64         // start of its process, Unix time in ms; 0 if not announced
	Beat      int64         // number of the heartbeat that announced this, counted since Born
	ColdUntil state.Instant // end of the cold time after its start, or the time left while in transit; 0 if not cold
}

// Peer holds what an instance registered about itself.
type Peer struct {
	Name           state.InstanceName
	Region         state.RegionName
	Domain         state.DomainName
	CallersAddress string // address that callers connect to
	PeerAddress    string // UDP address for messages between instances
	LinkMbps       int    // bandwidth of its link in Mbit/s; 0 if not known
	JoinedMS       int64  // when it joined, in ms since 1970 by its own clock; earlier processes of a listed instance count. 0 if not known
}
