package edge

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"azurebridge/coordination/message"
	"azurebridge/protocol/callers"
	"azurebridge/state"
)

// transfer passes one answer on to a caller, from one backend server after another where it must.
// Invariant whole-answer: it returns normally only when the caller has every byte that was announced.
type transfer struct {
	m  *Manager
	w  http.ResponseWriter
	rq *request
	at *attempt // under whose grant the body is read

	length    int64 // bytes announced, -1 when not known
	passed    int64 // bytes passed on
	next      int64 // offset in the resource of the next byte
	part      part  // announced, when canResume
	canResume bool

	resumes   int // in a row without progress
	resumedAt int64
	exclude   []state.BackendName

	pacer    pacer
	idle     time.Duration // longest read; 0 means no limit
	snapshot *state.Snapshot
	revision state.Revision // for which drained is known
	drained  bool
	moveAt   time.Time
}

// pass passes an answer on. When its body ends early and cannot be resumed, the caller's connection is aborted, so that
// a part is never taken for the whole.
func (m *Manager) pass(w http.ResponseWriter, rq *request, at *attempt) {
	resp := at.resp
	h := w.Header()
	copyHeader(h, resp.Header)
	h.Set(callers.HeaderOutcome, string(callers.OutcomeRan))
	w.WriteHeader(resp.StatusCode)
	if rq.http.Method == http.MethodHead || resp.Body == http.NoBody {
		m.finish(at, resultOfStatus(resp.StatusCode))
		return
	}
	x := &transfer{m: m, w: w, rq: rq, at: at, length: resp.ContentLength}
	x.pacer.rate = paceRate(rq.service, rq.snapshot.Self.Region, at.answer.Region)
	x.part, x.canResume = resumable(rq.http, resp)
	x.next, x.resumedAt = x.part.first, x.part.first
	if k := rq.service.Kind; k == state.KindDownload || k == state.KindStream {
		x.idle = IdlePlainBody
		if x.canResume {
			x.idle = IdleBody
		}
	}
	x.run(resultOfStatus(resp.StatusCode))
}

func resultOfStatus(code int) message.Result {
	if code >= http.StatusInternalServerError {
		return message.ResultFailed
	}
	return message.ResultOK
}

// run copies the body and releases the grant.
func (x *transfer) run(result message.Result) {
	buf := x.m.buffers.Get().(*[]byte)
	readErr, writeErr := x.copy(*buf)
	x.m.buffers.Put(buf)
	x.m.Stats.BytesCarried.Add(uint64(x.passed))
	if readErr != nil && x.rq.http.Context().Err() == nil {
		result = message.ResultFailed
	}
	if x.at != nil {
		x.m.finish(x.at, result)
	}
	switch {
	case writeErr != nil, readErr != nil && x.rq.http.Context().Err() != nil:
		x.m.Stats.CallerGone.Add(1)
		panic(http.ErrAbortHandler)
	case readErr != nil:
		x.m.Stats.CutAnswers.Add(1)
		panic(http.ErrAbortHandler)
	}
}

// copy passes the body on until its end. It flushes when no more data is at hand, so that a slow body is not delayed.
func (x *transfer) copy(buf []byte) (readErr, writeErr error) {
	flusher, _ := x.w.(http.Flusher)
	for x.passed != x.length {
		if x.moveDue() {
			x.move()
		}
		n, err := x.read(x.pacer.chunk(buf))
		if x.length >= 0 && int64(n) > x.length-x.passed {
			return errBodyLong, nil
		}
		if n > 0 {
			if _, werr := x.w.Write(buf[:n]); werr != nil {
				return nil, werr
			}
			x.passed, x.next = x.passed+int64(n), x.next+int64(n)
			if (n < len(buf) || x.pacer.rate > 0) && x.passed != x.length && err == nil && flusher != nil {
				flusher.Flush()
			}
		}
		x.pacer.wait(x.at.ctx, n)
		switch {
		case err == nil || x.passed == x.length:
		case err == io.EOF && x.length < 0:
			return nil, nil
		default:
			if err == io.EOF {
				err = errBodyShort
			}
			if !x.resume(err) {
				return err, nil
			}
		}
	}
	return nil, nil
}

// read reads from the backend server, at most for the idle time.
func (x *transfer) read(buf []byte) (int, error) {
	if x.idle == 0 {
		return x.at.resp.Body.Read(buf)
	}
	at := x.at
	if at.idle == nil {
		at.idle = time.AfterFunc(x.idle, func() { at.cancel(errBodyIdle) })
	} else {
		at.idle.Reset(x.idle)
	}
	n, err := at.resp.Body.Read(buf)
	at.idle.Stop()
	if err != nil && errors.Is(context.Cause(at.ctx), errBodyIdle) {
		x.m.opts.Backends.CloseIdle()
		err = errBodyIdle
	}
	return n, err
}
