// Package operatorapi defines the JSON messages of the operators' interface.
package operatorapi

import (
	"azurebridge/coordination/message"
	"azurebridge/protocol/inifile"
	"azurebridge/protocol/planfile"
	"azurebridge/state"
)

// Paths of the operators' interface.
const (
	PathConfig  = "/v1/config"
	PathDrain   = "/v1/drain"
	PathUndrain = "/v1/undrain"
	PathCap     = "/v1/cap"
	PathStatus  = "/v1/status"
	PathDump    = "/v1/dump"
	PathReport  = "/v1/report" // ?wait=DURATION, at most 5s
	PathMetrics = "/v1/metrics"
)

// Bounds of requests.
const (
	MaxConfigBody = 24 << 20 // bytes of a POST to PathConfig
	MaxChangeBody = 4 << 10  // bytes of any other request
	MaxRequestID  = 64       // bytes
	MaxReply      = 32 << 20 // bytes of a reply that a client reads
)

// Names of the three files in problems. The interface does not know the operator's own file names.
const (
	FileDeployment = "deployment.ini"
	FilePlans      = "plans.ini"
	FileCustomers  = "customers.ini"
)

// Files returns the names of the three files for package planfile.
func Files() planfile.Files {
	return planfile.Files{Deployment: FileDeployment, Plans: FilePlans, Customers: FileCustomers}
}

// Config answers a GET of PathConfig with the accepted configuration.
type Config struct {
	Revision state.Revision `json:"revision"`
	Author   string         `json:"author"`
	Files    planfile.Text  `json:"files"`
}

// Apply is the body of a POST to PathConfig.
type Apply struct {
	Base    state.Revision `json:"base"`              // revision that the files were made from
	Request string         `json:"request,omitempty"` // request ID chosen by the operator; a repeated request is accepted only once
	Files   planfile.Text  `json:"files"`
}

// Drain is the body of a POST to PathDrain and PathUndrain.
type Drain struct {
	Kind    state.DrainKind `json:"kind"` // backend, domain or region
	Name    string          `json:"name"`
	Request string          `json:"request,omitempty"`
}

// Cap is the body of a POST to PathCap. It creates the shift or replaces it.
type Cap struct {
	Name          state.ShiftName  `json:"name"`
	From          state.RegionName `json:"from"`
	To            state.RegionName `json:"to"`
	MaxRunning    int              `json:"max_running"`
	RampPerSecond int              `json:"ramp_per_second"`
	Remove        bool             `json:"remove,omitempty"` // ends the shift; only Name is read
	Request       string           `json:"request,omitempty"`
}

// Accepted answers a request whose change was accepted.
type Accepted struct {
	Revision  state.Revision `json:"revision"`
	Unchanged bool           `json:"unchanged,omitempty"` // the configuration already was as requested; nothing was written
}

// ErrorKind tells whether the requested change took effect, and why not.
type ErrorKind string

// Kinds of error. The change may have been accepted only with ErrorUnknown.
const (
	ErrorInvalid     ErrorKind = "invalid"     // the request or its files are wrong; nothing was changed
	ErrorConflict    ErrorKind = "conflict"    // another change was accepted first; nothing was changed
	ErrorUnavailable ErrorKind = "unavailable" // nothing was changed; try again later
	ErrorUnknown     ErrorKind = "unknown"     // the change may or may not have been accepted
)

// Error answers a request that failed.
type Error struct {
	Kind     ErrorKind        `json:"kind"`
	Message  string           `json:"message"`
	Problems inifile.Problems `json:"problems,omitempty"` // with ErrorInvalid
	Conflict *Conflict        `json:"conflict,omitempty"` // with ErrorConflict
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// Conflict shows both sides of a conflict. When the base is no longer retained, BaseKnown is false, Theirs is empty and Yours
// is relative to the accepted configuration.
type Conflict struct {
	Base      state.Revision `json:"base"`
	BaseKnown bool           `json:"base_known"`
	Accepted  state.Revision `json:"accepted"`
	Author    string         `json:"author"`
	Theirs    []state.Change `json:"theirs"` // from the base to the accepted configuration
	Yours     []state.Change `json:"yours"`  // from the base to the requested configuration
}

// Status answers a GET of PathStatus.
type Status struct {
	Instance  state.InstanceName  `json:"instance"`
	Region    state.RegionName    `json:"region"`
	Revision  state.Revision      `json:"revision"`
	Author    string              `json:"author"`
	Reader    bool                `json:"reader"` // whether the instance watches the store
	Leaving   bool                `json:"leaving"`
	Instances map[string]int      `json:"instances"` // number of instances by status
	Homes     []message.HomeClaim `json:"homes"`
	Loads     []state.RegionLoad  `json:"loads"`
	Drains    []state.Drain       `json:"drains"`
	Shifts    []state.Shift       `json:"shifts"`
}
