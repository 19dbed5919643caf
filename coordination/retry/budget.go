// Package retry bounds how much work retries may add.
package retry

import (
	"time"

	"azurebridge/state"
)

// Bounds of a budget.
const (
	// Ratio is the number of retries that one first attempt pays for.
	Ratio = 0.1
	// MaxTokens bounds the retries that may follow at once after a quiet time.
	MaxTokens = 20
	// StartTokens lets a service that has just started retry its first failures.
	StartTokens = 3
	// FloorInterval is the time in which one retry is allowed without any first attempt, so that a service with few
	// requests can retry at all.
	FloorInterval = 10 * time.Second
)

// Budget is the token bucket of one service. The zero value is not ready; use NewBudget.
type Budget struct {
	tokens  float64
	floored state.Instant // when the floor last added to tokens
	started bool
	First   uint64 // first attempts
	Retries uint64 // retries that were allowed
	Refused uint64 // retries that were refused
}

// NewBudget returns a budget with StartTokens.
func NewBudget() *Budget { return &Budget{tokens: StartTokens} }

// Attempt records a first attempt, which pays for Ratio retries.
func (b *Budget) Attempt() {
	b.First++
	b.tokens = min(MaxTokens, b.tokens+Ratio)
}

// Retry takes a token for a retry. It returns false when there is none.
func (b *Budget) Retry(now state.Instant) bool {
	b.addFloor(now)
	if b.tokens < 1 {
		b.Refused++
		return false
	}
	b.tokens--
	b.Retries++
	return true
}

// Refund returns the token of a retry that was not sent.
func (b *Budget) Refund() {
	b.tokens = min(MaxTokens, b.tokens+1)
	b.Retries--
}

func (b *Budget) addFloor(now state.Instant) {
	if !b.started {
		b.started, b.floored = true, now
		return
	}
	if gone := now.Sub(b.floored); gone > 0 {
		b.floored = now
		b.tokens = min(MaxTokens, b.tokens+float64(gone)/float64(FloorInterval))
	}
}
