package load

import (
	"sync"

	"azurebridge/protocol/callers"
	"azurebridge/transport/standin"
)

// Told keeps what callers were told of their submissions.
type Told struct {
	mu       sync.Mutex
	outcomes map[string]callers.Outcome
}

// NewTold returns an empty record.
func NewTold() *Told { return &Told{outcomes: make(map[string]callers.Outcome)} }

// Add records the outcome of one attempt. "ran" supersedes everything, and "unknown" supersedes "not run": after an
// attempt without proof, a later refusal proves nothing about the first one.
func (t *Told) Add(id string, o callers.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, seen := t.outcomes[id]
	if !seen || o == callers.OutcomeRan || (o == callers.OutcomeUnknown && old == callers.OutcomeNotRun) {
		t.outcomes[id] = o
	}
}

// Verdict is the result of comparing what callers were told with what ran.
type Verdict struct {
	DuplicateRuns int `json:"duplicate_runs"` // submissions that ran more than once
	FalseNotRun   int `json:"false_not_run"`  // submissions that ran although every attempt was told "not run"
	LostAccepted  int `json:"lost_accepted"`  // submissions that did not run although the caller was told "ran"
}

// Compare compares the record with the runs of the stand-in's ledger.
func (t *Told) Compare(runs map[string][]standin.Run) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var v Verdict
	for id, o := range t.outcomes {
		n := len(runs[id])
		if n > 1 {
			v.DuplicateRuns++
		}
		if n > 0 && o == callers.OutcomeNotRun {
			v.FalseNotRun++
		}
		if n == 0 && o == callers.OutcomeRan {
			v.LostAccepted++
		}
	}
	return v
}
