// Package storeapi defines the JSON messages of the platform's key-value service ("the store") and of its list of
// instances.
package storeapi

// Paths of the platform's HTTP interface.
const (
	PathGet       = "/v1/kv/get"
	PathList      = "/v1/kv/list"
	PathWatch     = "/v1/kv/watch"
	PathCAS       = "/v1/kv/cas"
	PathLease     = "/v1/lease"
	PathInstances = "/v1/instances"
)

// MaxValue bounds one value, in bytes.
const MaxValue = 1 << 20

// Entry is a key with its value. Version counts the writes of the key; 0 means that the key does not exist.
type Entry struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Lease   uint64 `json:"lease,omitempty"` // the key is deleted when this lease ends; 0 for none
}

// ListReply is one page of a list, ordered by key. More reports that further keys follow.
type ListReply struct {
	Entries []Entry `json:"entries"`
	More    bool    `json:"more"`
}

// CASRequest is a compare-and-swap: it writes Value, or with Delete removes the key, if the key's version is Version. Version 0
// stands for an absent key.
type CASRequest struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Lease   uint64 `json:"lease,omitempty"`
	Delete  bool   `json:"delete,omitempty"`
}

// CASReply reports whether the write took effect, and the current entry.
type CASReply struct {
	OK      bool  `json:"ok"`
	Current Entry `json:"current"`
}

// LeaseRequest creates a lease (ID 0), renews one or, with Revoke, ends one.
type LeaseRequest struct {
	ID         uint64 `json:"id,omitempty"`
	TTLSeconds int    `json:"ttl_seconds,omitempty"`
	Revoke     bool   `json:"revoke,omitempty"`
}

// LeaseReply answers a LeaseRequest. OK is false when the lease does not exist.
type LeaseReply struct {
	ID uint64 `json:"id"`
	OK bool   `json:"ok"`
}

// Instance is one entry of the platform's list of instances, which shows changes with a delay.
type Instance struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	Domain        string `json:"domain"`
	CallerAddress string `json:"caller_address,omitempty"`
	FleetAddress  string `json:"fleet_address,omitempty"`
	Status        string `json:"status"` // "live" or "leaving"
}

// InstancesReply is the platform's list of instances.
type InstancesReply struct {
	Instances []Instance `json:"instances"`
}
