// Package callers defines the HTTP conventions of the callers' interface: header names, outcome values and problem
// details (RFC 9457).
package callers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Headers between callers, entry instances and backend servers.
const (
	HeaderCustomer       = "Azb-Customer"
	HeaderOutcome        = "Azb-Outcome"
	HeaderDeadline       = "Azb-Deadline-Ms" // time left for the request, in milliseconds
	HeaderNotRun         = "Azb-Not-Run"     // set by a backend server that rejected a request without running it
	HeaderInternalPrefix = "Azb-Internal-"   // prefix of reserved headers; requests of callers that have one are rejected
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderSubmissionKey  = "Azb-Submission-Key" // the idempotency key, as it is sent to a backend server
	HeaderReplayed       = "Azb-Replayed"       // the answer was recorded when an earlier attempt with the same key ran
	HeaderAnswerOmitted  = "Azb-Answer-Omitted" // the answer's body was too large to be recorded and is missing
)

// PathPrefix is the prefix of the paths that the system answers itself.
const PathPrefix = "/.azb/"

// PathLookup is the path of the look-up of the entry instances that a caller should use.
const PathLookup = PathPrefix + "lookup"

// MaxIdempotencyKey bounds an idempotency key, in characters.
const MaxIdempotencyKey = 128

// ProblemType is the media type of problem details.
const ProblemType = "application/problem+json"

// Outcome tells whether a submission has run.
type Outcome string

// Outcomes of a submission. OutcomeNotRun is given only with proof; with OutcomeUnknown the submission may have run.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Problem is a problem details object (RFC 9457).
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Step    string  `json:"step,omitempty"` // that failed, such as admission or claim
	Peer    string  `json:"peer,omitempty"` // name of the backend server that the failed step used
}

// typePrefix precedes the reason in the type of a problem.
const typePrefix = "urn:azurebridge:problem:"

// WriteProblem answers a request with problem details. It sets Retry-After, rounded up to seconds, when retryAfter is positive.
func WriteProblem(w http.ResponseWriter, p Problem, retryAfter time.Duration) {
	p.Type = typePrefix + p.Reason
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set(HeaderOutcome, string(p.Outcome))
	h.Set("Cache-Control", "no-store")
	if retryAfter > 0 {
		seconds := int((retryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // the caller may have disconnected
}

// LookupReply answers a look-up.
type LookupReply struct {
	Entries    []Entry `json:"entries"` // best first
	TTLSeconds int     `json:"ttl_seconds"`
}

// Entry is an entry instance that a caller may use.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
}

// CheckIdempotencyKey returns an error unless the key has 1 to MaxIdempotencyKey visible ASCII characters.
func CheckIdempotencyKey(key string) error {
	if len(key) == 0 || len(key) > MaxIdempotencyKey {
		return errors.Errorf("idempotency key has %d characters, 1 to %d are allowed", len(key), MaxIdempotencyKey)
	}
	for i := 0; i < len(key); i++ {
		if key[i] < '!' || key[i] > '~' {
			return errors.Errorf("idempotency key has byte %#x at %d, only visible ASCII is allowed", key[i], i)
		}
	}
	return nil
}

// ParseDeadline parses the deadline header, 1 ms to one day. It returns 0 when the header is absent.
func ParseDeadline(h http.Header) (time.Duration, error) {
	v := h.Get(HeaderDeadline)
	if v == "" {
		return 0, nil
	}
	const maxDeadline = 24 * 60 * 60 * 1000 // a day in milliseconds
	ms, err := strconv.Atoi(v)
	if err != nil || ms <= 0 || ms > maxDeadline {
		return 0, errors.Errorf("%s is %q, want 1 to %d", HeaderDeadline, v, maxDeadline)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
