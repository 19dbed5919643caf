package backendconn

import (
	"net/http"

	"github.com/pkg/errors"

	"azurebridge/transport/backend"
	"azurebridge/transport/membudget"
)

// errTooLong means that an answer that is not forwarded as it is read has a body that cannot be held.
var errTooLong = errors.New("the body is too long for an unsigned or failed answer")

// longReceiveBuffer is the receive buffer for answers that do not fit into the usual one, in bytes: between regions, 70 ms there and
// back, it carries several MiB a second.
const longReceiveBuffer = 256 << 10

// growReceiveBuffer gives the connection a larger receive buffer for an answer that does not fit into the usual one, while there is
// memory for it. It returns the bytes that it has reserved for what may wait there unread.
func (x *exchange) growReceiveBuffer(announced int64) (reserved int64) {
	if announced >= 0 && announced <= backend.ServerReceiveBuffer || !x.request.Memory.ReserveFree(longReceiveBuffer) {
		return 0
	}
	if !x.conn.grown {
		x.conn.grown = true
		_ = x.conn.SetReadBuffer(longReceiveBuffer) // fails only for a closed connection, or one that has no buffer
	}
	return longReceiveBuffer
}

// readBody reads the body of an answer. Where it is larger than MaxBuffered, or the memory is used up, the rest of a server's own
// answer is streamed; the rest of any other is not read. The memory of a large receive buffer stays reserved while an answer is
// streamed, whose caller may not accept what the buffer holds.
func (x *exchange) readBody(a *Answer, resp *http.Response) error {
	reserved := x.growReceiveBuffer(resp.ContentLength)
	b := membudget.NewBuffer(x.request.Memory, resp.ContentLength, MaxBuffered)
	err := b.Fill(resp.Body)
	if errors.Is(err, membudget.ErrFull) && a.Signed || errors.Is(err, membudget.ErrExhausted) && a.streamable() {
		a.Body, a.Rest = b.Bytes(), &restReader{Reader: b.Rest(resp.Body), x: x, resp: resp}
		return nil
	}
	x.request.Memory.Release(reserved)
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
