package backendconn

import (
	"net/http"

	"github.com/pkg/errors"

	"azurebridge/transport/membudget"
)

// errTooLong means that an answer that is not forwarded as it is read has a body that cannot be held.
var errTooLong = errors.New("the body is too long for an unsigned or failed answer")

// readBody reads the body of an answer. Where it is larger than MaxBuffered, or the memory is used up, the rest of a server's own
// answer is streamed; the rest of any other is not read.
func (x *exchange) readBody(a *Answer, resp *http.Response) error {
	b := membudget.NewBuffer(x.request.Memory, resp.ContentLength, MaxBuffered)
	err := b.Fill(resp.Body)
	if errors.Is(err, membudget.ErrFull) && a.Signed || errors.Is(err, membudget.ErrExhausted) && a.streamable() {
		a.Body, a.Rest = b.Bytes(), &restReader{Reader: b.Rest(resp.Body), x: x, resp: resp}
		return nil
	}
	if err != nil {
		b.Free()
		if errors.Is(err, membudget.ErrFull) {
			err = errTooLong
		}
		return err
	}
	a.Body = b.Bytes()
	return nil
}

// streamable reports whether the answer is forwarded whatever its body is, so that it may be forwarded before it has been read.
func (a *Answer) streamable() bool {
	return a.Signed && !a.NotRun && a.Status < http.StatusInternalServerError
}
