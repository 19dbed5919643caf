package load

import (
	"context"
	"io"
	"time"

	"azurebridge/internal/wait"
)

// pacedBody limits the rate at which a body is read, as on a client's slow connection.
type pacedBody struct {
	io.ReadCloser
	ctx   context.Context
	rate  int64 // bytes/s
	begin time.Time
	read  int64
}

// Read implements io.Reader. It waits until the bytes read so far are due at the rate. It fails when the context ends.
func (p *pacedBody) Read(b []byte) (int, error) {
	due := p.begin.Add(time.Duration(float64(p.read) / float64(p.rate) * float64(time.Second)))
	if !wait.For(p.ctx, time.Until(due)) {
		return 0, p.ctx.Err()
	}
	n, err := p.ReadCloser.Read(b)
	p.read += int64(n)
	return n, err
}
