package edge

import (
	"context"
	"time"

	"azurebridge/internal/wait"
	"azurebridge/state"
)

const (
	// paceBurst is how far ahead of its rate a body may be, as time at that rate. It also bounds what a body that fell
	// behind may catch up with at once, so that the rate reserved on a link holds in every 100 ms.
	paceBurst = 20 * time.Millisecond
	// paceChunk is the longest time at its rate that one read takes.
	paceChunk = 20 * time.Millisecond
	minChunk  = 1 << 10 // bytes
)

// pacer limits the rate of one body. The zero value does not limit.
type pacer struct {
	rate int64     // bytes per second; 0 means no limit
	due  time.Time // when the bytes so far are due at the rate
}

// paceRate returns the rate of a body: the rate reserved for it on a link that it crosses, and on services for long
// bodies their rate also inside a region.
func paceRate(s *state.Service, own, from state.RegionName) int64 {
	if s.Kind == state.KindDownload || s.Kind == state.KindStream || from != own {
		return s.BytesPerSecond
	}
	return 0
}

// chunk bounds the next read.
func (p *pacer) chunk(buf []byte) []byte {
	if p.rate == 0 {
		return buf
	}
	n := int64(paceChunk) * p.rate / int64(time.Second)
	return buf[:min(int64(len(buf)), max(n, minChunk))]
}

// delay counts n bytes passed on at now and returns how long to wait before the next ones.
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

// wait passes the time after n bytes. It returns early when ctx ends.
func (p *pacer) wait(ctx context.Context, n int) {
	if p.rate == 0 {
		return
	}
	if d := p.delay(time.Now(), n); d > 0 {
		wait.For(ctx, d)
	}
}
