// Package message defines the typed messages between entry instances, independent of their encoding, which package wire
// implements. Every message may be lost, repeated or reordered without harm.
package message

import (
	"time"

	"azurebridge/state"
)

// Envelope carries one message from one instance to another.
type Envelope struct {
	From        state.InstanceName
	Incarnation state.Incarnation // of the sender
	To          state.InstanceName
	Body        Body
}

// Body is one of the message types of this package.
type Body interface{ body() }

// GrantID identifies a grant request and the grant that answers it. It is unique within the holder's incarnation.
type GrantID uint64

// Epoch numbers the successive homes of a region (see HomeClaim). A higher epoch supersedes a lower one.
type Epoch uint64

// GrantRequest asks the home of a region for the right to run one request on a backend server of the region.
type GrantRequest struct {
	ID          GrantID
	Region      state.RegionName // whose home is asked
	Service     state.ServiceName
	Customer    state.CustomerName
	EntryRegion state.RegionName // where the caller's request entered
	Shift       state.ShiftName  // set when the request runs here because of an operator's shift
	Rate        int64            // bytes per second to reserve for the response body on the link Region to EntryRegion
	Wait        time.Duration    // max time to queue for a slot
	Exclude     []state.BackendName
	SentAt      state.Instant // sender's clock, echoed in GrantReply
}

// GrantReply answers a GrantRequest.
type GrantReply struct {
	ID      GrantID
	Region  state.RegionName
	Epoch   Epoch
	Backend state.BackendName // empty when refused
	Refusal Refusal
	After   time.Duration // suggested delay before asking again; set with a refusal
	// Holder is the incarnation that sent the request. A restarted instance uses the same IDs again.
	Holder state.Incarnation
	SentAt state.Instant // of the request that is answered
	Waited time.Duration // time in the home's queue, on the home's clock
}

// Refusal says why a grant was refused. A refused request has not run.
type Refusal string

const (
	RefusedNone      Refusal = ""
	RefusedNotHome   Refusal = "not_home"       // the asked instance is not the home of the region, or not yet ready
	RefusedUnknown   Refusal = "unknown_target" // service or customer is not in the configuration
	RefusedPlan      Refusal = "plan"           // the plan does not allow the service or region
	RefusedCustomer  Refusal = "customer_limit"
	RefusedRegion    Refusal = "region_limit"
	RefusedLink      Refusal = "link_limit"
	RefusedShift     Refusal = "shift_cap"
	RefusedQueueFull Refusal = "queue_full"
	RefusedTimeout   Refusal = "queue_timeout"
	RefusedNoBackend Refusal = "no_backend" // no backend server of the service takes new requests
	RefusedBusy      Refusal = "control_busy"
	RefusedNoHome    Refusal = "no_home"      // no home of the region answered
	RefusedRetry     Refusal = "retry_budget" // too many retries in proportion to the first attempts of the service
	RefusedHolder    Refusal = "holder_limit" // the entry instance has reached its max number of pending requests or of grants
)

// Result says how a granted request ended, as far as the choice of backend server is concerned.
type Result uint8

const (
	ResultOK      Result = iota + 1
	ResultShed           // the backend server refused it before running it
	ResultFailed         // connection error, early end or 5xx answer
	ResultTimeout        // no response header in time, or no more data on the connection
	ResultUnused         // the request was never sent
)

// Release returns one grant to its home.
type Release struct {
	ID      GrantID
	Backend state.BackendName
	Result  Result
	Latency time.Duration // time to the response header
}

// GrantRelease returns grants to the home of a region.
type GrantRelease struct {
	Region   state.RegionName
	Epoch    Epoch
	Releases []Release
}

// HeldGrant is a grant that an instance still uses.
type HeldGrant struct {
	ID       GrantID
	Service  state.ServiceName
	Customer state.CustomerName
	Backend  state.BackendName
	Entry    state.RegionName
	Shift    state.ShiftName
	Rate     int64
}

// HeldGrants renews the sender's grants in a region. The home extends the lease of the listed grants. Since the list is
// complete, the home frees the sender's grants that have an ID below NextID and are not listed.
type HeldGrants struct {
	Region state.RegionName
	Epoch  Epoch // of the home that the sender knows
	Seq    uint64
	SentAt state.Instant // sender's clock, echoed in HeldGrantsReply
	NextID GrantID       // grants with a lower ID that are not listed are no longer used
	Grants []HeldGrant   // grants that this home has not yet confirmed
	Known  []GrantID     // the others; the home has their details
}

// HeldGrantsReply confirms a HeldGrants. The sender may use its grants until SentAt plus the grant lease.
type HeldGrantsReply struct {
	Region state.RegionName
	Epoch  Epoch
	Seq    uint64 // 0 confirms nothing: the HeldGrants named another epoch, or the home asks for a HeldGrants
	SentAt state.Instant
	Holder state.Incarnation // of the process that reported
	Lost   []GrantID         // reported grants that the home does not count; the sender must not use them
}

// VoteRequest asks a witness to promise that the candidate is the only home of the region for one lease.
type VoteRequest struct {
	Region state.RegionName
	Epoch  Epoch
	SentAt state.Instant // candidate's clock, echoed in VoteReply

	Record uint64 // number of the record of witnesses that the candidate uses
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Region  state.RegionName
	Epoch   Epoch // of the request
	Granted bool
	Promise Epoch              // highest epoch that the witness has promised
	Holder  state.InstanceName // to whom it promised that epoch
	SentAt  state.Instant

	Candidate state.Incarnation // of the process that sent the request
	Record    uint64            // highest number of the record that the witness has seen
	Held      bool              // the promise to Holder has not expired
}

// Resign releases the promises of an epoch; the sender is no longer home. It is sent to the witnesses and to the successor,
// which starts its election at once. Successor is empty when the sender abandons an election.
type Resign struct {
	Region    state.RegionName
	Epoch     Epoch
	Successor state.InstanceName
}

// Heartbeat announces that the sender is alive. Members exchange heartbeats with their home, homes with other homes.
type Heartbeat struct {
	Seq      uint64
	Instance state.Instance
	Revision state.Revision    // configuration in force at the sender
	Homes    []HomeClaim       // claim of the home of the sender's region, if known
	Known    uint64            // Version of the receiver's last reply; 0 for none
	KnownOf  state.Incarnation // of the receiver that sent that reply
}

// HomeClaim states that an instance is home of a region for an epoch. The home is the instance that allocates the slots of
// the region's backend servers.
type HomeClaim struct {
	Region state.RegionName
	Epoch  Epoch
	Home   state.InstanceName
}

// HeartbeatReply answers a Heartbeat. A home also sends it, with Seq 0, when the status of an instance changes.
type HeartbeatReply struct {
	Seq       uint64
	Revision  state.Revision
	Homes     []HomeClaim
	Instances []state.Instance // changed after the version that the receiver has, at most MaxInstancesPerReply
	Version   uint64           // of the sender's table, up to which Instances holds all changes
	Witnesses Witnesses        // of the sender's region; sent by its home only
}

// Witnesses is the record of the witnesses of a region: the instances that vote on its home.
type Witnesses struct {
	Region state.RegionName
	Number uint64
	Names  []state.InstanceName
}

// RegionStatus reports the load of a region from its home.
type RegionStatus struct {
	Region     state.RegionName
	Home       state.InstanceName // that measured the load; other homes relay it to their members in Others
	Epoch      Epoch
	Running    int
	MaxRunning int
	Services   []state.ServiceLoad
	Collecting bool // the home waits for the grants of its predecessor and grants nothing
	Links      []state.LinkLoad
	Shifts     []state.ShiftLoad
	Refused    []state.RefusalCount
	Others     []RegionStatus // of other regions, relayed by the home to its members
}

// ClaimKey is the hash of customer, service and idempotency key.
type ClaimKey [16]byte

// AttemptID identifies one attempt of an entry instance to forward a submission.
type AttemptID [16]byte

// ClaimRequest asks the writer of a claim shard to record that an attempt is about to be sent.
type ClaimRequest struct {
	Key         ClaimKey
	Fingerprint uint64 // hash of method, path and body, to detect a key reused for another submission
	Attempt     AttemptID
}

// ClaimStatus is the answer to a ClaimRequest.
type ClaimStatus uint8

const (
	ClaimGranted     ClaimStatus = iota + 1 // this attempt, and no other, may be sent
	ClaimRan                                // an earlier attempt ran; Outcome holds its answer
	ClaimPending                            // an earlier attempt may have run
	ClaimMismatch                           // the key belongs to a submission with another fingerprint
	ClaimUnavailable                        // the claim could not be recorded; it is proved not to be in the log
	ClaimUncertain                          // the claim may be in the log, so the key may stay pending; this attempt must not be sent
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Key     ClaimKey
	Attempt AttemptID
	Status  ClaimStatus
	Outcome Outcome
}

// OutcomeKind says what happened to an attempt.
type OutcomeKind uint8

const (
	OutcomeRan     OutcomeKind = iota + 1
	OutcomeNotRun              // proved not to have run, which releases the key
	OutcomeUnknown             // sent; whether it ran is not known
)

// Outcome is the recorded end of an attempt.
type Outcome struct {
	Kind       OutcomeKind
	StatusCode int
	Body       []byte // answer of the backend server, at most MaxOutcomeBody bytes
	BodyType   string // its Content-Type
	Omitted    bool   // the answer was larger than MaxOutcomeBody, so Body is empty
}

// OutcomeReport records how an attempt ended.
type OutcomeReport struct {
	Key         ClaimKey
	Attempt     AttemptID
	Fingerprint uint64
	Outcome     Outcome
}

// OutcomeAck confirms that an outcome is in the log, or that the log no longer needs it.
type OutcomeAck struct {
	Key     ClaimKey
	Attempt AttemptID
}

// ConfigDigest is the SHA-256 digest of an encoded configuration.
type ConfigDigest [32]byte

// ConfigOffer announces the highest revision that the sender has. A receiver with a higher one answers with its own offer.
type ConfigOffer struct {
	Revision state.Revision
	Digest   ConfigDigest
	Size     int             // bytes of the encoded configuration
	Sender   *state.Instance // in periodic offers, for a receiver that has no list of instances yet; else nil
}

// ConfigPull asks for parts of the configuration that a ConfigOffer named.
type ConfigPull struct {
	Have     state.Revision // in force at the sender
	Revision state.Revision // wanted
	Digest   ConfigDigest
	Part     int // first part wanted
	Count    int // parts wanted, at most MaxConfigWindow
}

// ConfigPush carries one part of an accepted configuration in its encoded form.
type ConfigPush struct {
	Revision state.Revision
	Data     []byte // of this part; MaxConfigPart bytes, except in the last part
	Digest   ConfigDigest
	Size     int // bytes of the whole encoded configuration
	Part     int // number of this part, from 0
}

// Bounds of messages.
const (
	MaxOutcomeBody       = 4 << 10  // bytes
	MaxInstancesPerReply = 128      // instances
	MaxConfigPart        = 48 << 10 // bytes of a configuration in one ConfigPush
	MaxConfigWindow      = 4        // parts asked for by one ConfigPull
	// MaxHeldGrants is the number of grants that one instance holds in one region. The report of all of them to a new
	// home must fit a frame of 64 KB: with names of the example deployments it takes 112 bytes per grant, 43 KB.
	MaxHeldGrants = 384
	MaxReleases   = 256 // releases in one GrantRelease
	MaxHandover   = 256 // grants in one GrantHandover
)

func (*GrantRequest) body()    {}
func (*GrantReply) body()      {}
func (*GrantRelease) body()    {}
func (*HeldGrants) body()      {}
func (*HeldGrantsReply) body() {}
func (*VoteRequest) body()     {}
func (*VoteReply) body()       {}
func (*Resign) body()          {}
func (*Heartbeat) body()       {}
func (*HeartbeatReply) body()  {}
func (*RegionStatus) body()    {}
func (*ClaimRequest) body()    {}
func (*ClaimReply) body()      {}
func (*OutcomeReport) body()   {}
func (*OutcomeAck) body()      {}
func (*ConfigOffer) body()     {}
func (*ConfigPull) body()      {}
func (*ConfigPush) body()      {}
func (*ReportRequest) body()   {}
func (*ReportPage) body()      {}
