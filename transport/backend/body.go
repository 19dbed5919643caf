package backend

import (
	"context"
	"io"
)

// cancelBody is a response body that cancels the request's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and cancels the request's context.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
