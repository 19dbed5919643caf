package edge

import (
	"context"
	"time"

	"azurebridge/internal/wait"
	"azurebridge/state"
)

const (
	// paceBurst is how far a body may be ahead of its rate, as time at that rate. It also limits how much a body that fell
	// behind may catch up at once, so that the rate reserved on a link holds in every 100 ms.
	paceBurst = 20 * time.Millisecond
	// paceChunk limits one read to the bytes that the rate allows in this time.
	paceChunk = 20 * time.Millisecond
	minChunk  = 1 << 10 // bytes that a read may take even at a low rate
)

// pacer limits the rate of one body. The zero value does not limit.
type pacer struct {
	rate int64     // bytes per second; 0 means no limit
	due  time.Time // when the bytes so far would be complete at the rate
}

// paceRate returns the rate limit of a body in bytes per second, 0 for no limit. The service's rate limits bodies that cross
// a link, on which it is reserved, and all bodies of downloads and streams.
func paceRate(s *state.Service, own, from state.RegionName) int64 {
	if s.Kind == state.KindDownload || s.Kind == state.KindStream || from != own {
		return s.BytesPerSecond
	}
	return 0
}

// chunk returns the part of buf that the next read may fill.
func (p *pacer) chunk(buf []byte) []byte {
	if p.rate == 0 {
		return buf
	}
	n := int64(paceChunk) * p.rate / int64(time.Second)
	return buf[:min(int64(len(buf)), max(n, minChunk))]
}

// delay accounts for n bytes forwarded at now and returns how long to wait before the next ones.
func (p *pacer) delay(now time.Time, n int) time.Duration {
	if p.rate == 0 {
		return 0
	}
	if earliest := now.Add(-paceBurst); p.due.Before(earliest) {
		p.due = earliest
	}
	p.due = p.due.Add(time.Duration(int64(n) * int64(time.Second) / p.rate))
	return max(0, p.due.Sub(now))
}

// wait sleeps for the delay after n bytes, or until ctx ends.
func (p *pacer) wait(ctx context.Context, n int) {
	if p.rate == 0 {
		return
	}
	if d := p.delay(time.Now(), n); d > 0 {
		wait.For(ctx, d)
	}
}
