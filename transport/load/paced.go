package load

import (
	"context"
	"io"
	"time"

	"azurebridge/internal/wait"
)

// pacedBody reads a body at a rate, as a client with a narrow connection does.
type pacedBody struct {
	io.ReadCloser
	ctx   context.Context
	rate  int64 // bytes/s
	begin time.Time
	read  int64
}

// Read implements io.Reader. It waits before a read that would be ahead of the rate.
func (p *pacedBody) Read(b []byte) (int, error) {
	due := p.begin.Add(time.Duration(float64(p.read) / float64(p.rate) * float64(time.Second)))
	if !wait.For(p.ctx, time.Until(due)) {
		return 0, p.ctx.Err()
	}
	n, err := p.ReadCloser.Read(b)
	p.read += int64(n)
	return n, err
}
