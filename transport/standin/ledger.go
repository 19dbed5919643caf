package standin

import (
	"net/http"
	"sync"

	"azurebridge/state"
)

// Submission is the body of a submission to a stand-in backend server.
type Submission struct {
	ID string `json:"id"`
}

// Receipt answers a submission that ran.
type Receipt struct {
	ID     string `json:"id"`
	Server string `json:"server"`
}

// Ledger records which submissions ran, and how often.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// Ran records one run of a submission.
func (l *Ledger) Ran(id string, _ state.BackendName) {
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
}

// ServeHTTP answers with the number of runs by submission.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply(w, l.runs)
}
