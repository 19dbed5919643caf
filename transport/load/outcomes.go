package load

import (
	"sync"

	"azurebridge/protocol/callers"
	"azurebridge/transport/standin"
)

// OutcomeLog records the outcomes that were reported to callers for their submissions.
type OutcomeLog struct {
	mu   sync.Mutex
	byID map[string]callers.Outcome // by id of the submission
}

// NewOutcomeLog returns an empty log.
func NewOutcomeLog() *OutcomeLog { return &OutcomeLog{byID: make(map[string]callers.Outcome)} }

// Add records the outcome of one attempt. "ran" replaces every outcome, and "unknown" replaces "not run", because the refusal
// of one attempt does not prove that another attempt with an unknown outcome did not run.
func (l *OutcomeLog) Add(id string, o callers.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, seen := l.byID[id]
	if !seen || o == callers.OutcomeRan || (o == callers.OutcomeUnknown && old == callers.OutcomeNotRun) {
		l.byID[id] = o
	}
}

// Verdict is the result of comparing the outcomes reported to callers with the runs in the ledger.
type Verdict struct {
	DuplicateRuns int `json:"duplicate_runs"` // submissions that ran more than once
	FalseNotRun   int `json:"false_not_run"`  // submissions that ran although every attempt was reported as "not run"
	LostAccepted  int `json:"lost_accepted"`  // submissions that did not run although "ran" was reported to the caller
}

// Compare compares the recorded outcomes with the runs in the stand-in's ledger, which are keyed by id of the submission.
func (l *OutcomeLog) Compare(runs map[string][]standin.Run) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v Verdict
	for id, o := range l.byID {
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
