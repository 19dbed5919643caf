package backend

import (
	"context"
	"io"
)

// body ends the request's context when it is closed.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and ends the request.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
