// Package retry bounds the additional load that retries cause.
package retry

import (
	"time"

	"azurebridge/state"
)

// Bounds of a budget.
const (
	// Ratio is the number of tokens that one first attempt adds; a retry costs one token.
	Ratio = 0.1
	// MaxTokens bounds the burst of retries after an idle time.
	MaxTokens = 20
	// StartTokens lets a service that has just started retry its first failures.
	StartTokens = 3
	// FloorInterval is the time in which one token is added without any first attempt, so that a service with few requests
	// can retry at all.
	FloorInterval = 10 * time.Second
)

// Budget is the token bucket of one service. The zero value is not ready; use NewBudget.
type Budget struct {
	tokens       float64
	floorAddedAt state.Instant // when the floor last added to tokens
	started      bool
	First        uint64 // first attempts
	Retries      uint64 // retries that were allowed
	Refused      uint64 // retries that were refused
}

// NewBudget returns a budget with StartTokens.
func NewBudget() *Budget { return &Budget{tokens: StartTokens} }

// Attempt records a first attempt, which adds Ratio tokens.
func (b *Budget) Attempt() {
	b.First++
	b.tokens = min(MaxTokens, b.tokens+Ratio)
}

// Retry takes a token for a retry. It returns false when there is no whole token.
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
		b.started, b.floorAddedAt = true, now
		return
	}
	if elapsed := now.Sub(b.floorAddedAt); elapsed > 0 {
		b.floorAddedAt = now
		b.tokens = min(MaxTokens, b.tokens+float64(elapsed)/float64(FloorInterval))
	}
}
