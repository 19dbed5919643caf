package report

import (
	"time"

	"azurebridge/state"
)

// Report is the steering report. Its JSON names are stable. A nil figure was not measured.
type Report struct {
	Time      time.Time          `json:"time"`
	Instance  state.InstanceName `json:"instance"`
	Region    state.RegionName   `json:"region"`
	Revision  state.Revision     `json:"revision"`
	Coverage  []CoverageRow      `json:"coverage"`
	Regions   []RegionRow        `json:"regions"`
	Links     []LinkRow          `json:"links"`
	Shifts    []ShiftRow         `json:"shifts"`
	Drains    []DrainRow         `json:"drains"`
	Customers []CustomerRow      `json:"customers"`
	Services  []ServiceTotal     `json:"services"`
	Fleet     Fleet              `json:"fleet"`
}

// CoverageRow shows which instances of a region the report covers.
type CoverageRow struct {
	Region       state.RegionName     `json:"region"`
	Collector    state.InstanceName   `json:"collector"`
	Asked        int                  `json:"asked"`
	Answered     int                  `json:"answered"`
	Missing      []state.InstanceName `json:"missing"` // at most MaxMissing
	MissingCount int                  `json:"missing_count"`
	AgeMs        float64              `json:"age_ms"`
}

// RegionRow is the load of a region. AgeMs is negative when its home has not reported.
type RegionRow struct {
	Region     state.RegionName   `json:"region"`
	Home       state.InstanceName `json:"home"`
	Epoch      uint64             `json:"epoch"`
	AgeMs      float64            `json:"age_ms"`
	Slots      int                `json:"slots"`
	MaxRunning int                `json:"max_running"`
	Running    int                `json:"running"`
	Queued     int                `json:"queued"`
	Headroom   int                `json:"headroom"` // further requests that the slots and the limit allow now
	Drained    bool               `json:"drained"`
	Services   []ServiceRow       `json:"services"`
}

// ServiceRow is the load of one service in one region.
type ServiceRow struct {
	Service  state.ServiceName `json:"service"`
	Slots    int               `json:"slots"`
	Running  int               `json:"running"`
	Queued   int               `json:"queued"`
	Headroom int               `json:"headroom"`
}

// LinkRow is the use of a directed link, in bytes per second.
type LinkRow struct {
	From     state.RegionName `json:"from"`
	To       state.RegionName `json:"to"`
	Capacity int64            `json:"capacity"`
	Reserved *int64           `json:"reserved"`
	Used     int64            `json:"used"` // of response bodies, over the window
	Headroom int64            `json:"headroom"`
}

// ShiftRow is a shift that is in force.
type ShiftRow struct {
	Shift   state.ShiftName  `json:"shift"`
	From    state.RegionName `json:"from"`
	To      state.RegionName `json:"to"`
	Cap     int              `json:"cap"`
	Ramp    int              `json:"ramp_per_second"`
	Allowed *int             `json:"allowed"`
	Running *int             `json:"running"`
}

// DrainRow is a drain that is in force. Running is measured only for drains of a region.
type DrainRow struct {
	Kind    state.DrainKind `json:"kind"`
	Name    string          `json:"name"`
	Running *int            `json:"running"`
}

// Verdict is the result of comparing a latency with its promise.
type Verdict string

const (
	PromiseKept   Verdict = "kept"
	PromiseMissed Verdict = "missed"
	NoPromise     Verdict = "no promise"
	NoTraffic     Verdict = "no traffic"
)

// CustomerRow is one customer and service. The promise is the latency target of the customer's plan. The promise and the verdict
// apply to the p99 over Window of the latency that Measure names.
type CustomerRow struct {
	Customer   state.CustomerName `json:"customer"`
	Plan       state.PlanName     `json:"plan"`
	Service    state.ServiceName  `json:"service"`
	Measure    string             `json:"measure"` // first_byte or whole_answer
	PromisedMs float64            `json:"promised_p99_ms"`
	Verdict    Verdict            `json:"verdict"`
	Window     Achieved           `json:"window"`
	Total      Achieved           `json:"since_start"`
}

// ServiceTotal holds the figures of one service for all customers, computed from their merged histograms.
type ServiceTotal struct {
	Service state.ServiceName `json:"service"`
	Measure string            `json:"measure"`
	Window  Achieved          `json:"window"`
	Total   Achieved          `json:"since_start"`
}

// Achieved holds the figures of one service for one or all customers, during Seconds.
type Achieved struct {
	Seconds   float64   `json:"seconds"`
	Requests  uint64    `json:"requests"`
	Admitted  uint64    `json:"admitted"`
	Ran       uint64    `json:"ran"`
	NotRun    uint64    `json:"not_run"`
	Unknown   uint64    `json:"unknown"`
	Cut       uint64    `json:"cut"`
	Refused   []Reason  `json:"refused"`
	FirstByte Quantiles `json:"first_byte_ms"`
	Whole     Quantiles `json:"whole_answer_ms"`
}

// Quantiles are latencies in milliseconds, of Count complete answers.
type Quantiles struct {
	Count uint64  `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// StatusCount counts the instances that have a status.
type StatusCount struct {
	Status    state.InstanceStatus `json:"status"`
	Instances int                  `json:"instances"`
}

// Fleet holds the figures of the fleet as a whole.
type Fleet struct {
	Statuses  []StatusCount   `json:"instances"`
	Revisions []RevisionCount `json:"revisions"`
	Overflow  uint64          `json:"unattributed_requests"` // of pairs left out because of MaxPairs
}

// Latencies that a promise can apply to.
const (
	MeasureFirstByte = "first_byte"
	MeasureWhole     = "whole_answer"
)
