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

// transfer forwards the body of one answer to a caller. It continues at another backend server when the body ends early or
// its server is drained.
// Invariant whole-answer: run returns normally only when the caller has every byte that was announced.
type transfer struct {
	m       *Manager
	w       http.ResponseWriter
	rq      *request
	attempt *attempt // attempt that the body is read from

	length     int64     // bytes announced; -1 when unknown
	written    int64     // bytes written to the caller
	nextOffset int64     // offset in the resource of the next byte
	announced  byteRange // byte range of the answer; valid when canResume
	canResume  bool

	resumes      int   // consecutive attempts without MinResumeProgress
	resumeOffset int64 // nextOffset at the last resume
	exclude      []state.BackendName

	pacer       pacer
	idleTimeout time.Duration // of one read; 0 means no limit
	snapshot    *state.Snapshot
	revision    state.Revision // configuration that drained was computed for
	drained     bool
	moveAt      time.Time // earliest time of the next move
}

// forwardAnswer forwards an answer. When its body ends early and cannot be resumed, the caller's connection is aborted, so
// that a partial body is never taken for the whole.
func (m *Manager) forwardAnswer(w http.ResponseWriter, rq *request, a *attempt) {
	resp := a.resp
	h := w.Header()
	copyHeader(h, resp.Header)
	h.Set(callers.HeaderOutcome, string(callers.OutcomeRan))
	w.WriteHeader(resp.StatusCode)
	if rq.http.Method == http.MethodHead || resp.Body == http.NoBody {
		m.finish(a, resultOfStatus(resp.StatusCode))
		return
	}
	t := &transfer{m: m, w: w, rq: rq, attempt: a, length: resp.ContentLength}
	t.pacer.rate = paceRate(rq.service, rq.snapshot.Self.Region, a.answer.Region)
	t.announced, t.canResume = resumable(rq.http, resp)
	t.nextOffset, t.resumeOffset = t.announced.first, t.announced.first
	if k := rq.service.Kind; k == state.KindDownload || k == state.KindStream {
		t.idleTimeout = PlainBodyIdleTimeout
		if t.canResume {
			t.idleTimeout = ResumableBodyIdleTimeout
		}
	}
	t.run(resultOfStatus(resp.StatusCode))
}

func resultOfStatus(code int) message.Result {
	if code >= http.StatusInternalServerError {
		return message.ResultFailed
	}
	return message.ResultOK
}

// run copies the body and releases the grant. It aborts the caller's connection when the body is incomplete.
func (t *transfer) run(result message.Result) {
	buf := t.m.buffers.Get().(*[]byte)
	readErr, writeErr := t.copy(*buf)
	t.m.buffers.Put(buf)
	t.m.Stats.BytesCarried.Add(uint64(t.written))
	if readErr != nil && t.rq.http.Context().Err() == nil {
		result = message.ResultFailed
	}
	if t.attempt != nil {
		t.m.finish(t.attempt, result)
	}
	switch {
	case writeErr != nil, readErr != nil && t.rq.http.Context().Err() != nil:
		t.m.Stats.CallerGone.Add(1)
		abort(t.rq.http)
	case readErr != nil:
		t.m.Stats.CutAnswers.Add(1)
		abort(t.rq.http)
	}
}

// copy forwards the body until its end. It flushes a paced body after each read, and any other when no more data is
// available, so that a slow body is not delayed.
func (t *transfer) copy(buf []byte) (readErr, writeErr error) {
	flusher, _ := t.w.(http.Flusher)
	for t.written != t.length {
		if t.moveDue() {
			t.move()
		}
		n, err := t.read(t.pacer.chunk(buf))
		if t.length >= 0 && int64(n) > t.length-t.written {
			return errBodyLong, nil
		}
		if n > 0 {
			if _, werr := t.w.Write(buf[:n]); werr != nil {
				return nil, werr
			}
			t.written, t.nextOffset = t.written+int64(n), t.nextOffset+int64(n)
			if (n < len(buf) || t.pacer.rate > 0) && t.written != t.length && err == nil && flusher != nil {
				flusher.Flush()
			}
		}
		t.pacer.wait(t.attempt.ctx, n)
		switch {
		case err == nil || t.written == t.length:
		case err == io.EOF && t.length < 0:
			return nil, nil
		default:
			if err == io.EOF {
				err = errBodyShort
			}
			if !t.resume(err) {
				return err, nil
			}
		}
	}
	return nil, nil
}

// read reads from the backend server. It fails with errBodyIdle after idleTimeout without data.
func (t *transfer) read(buf []byte) (int, error) {
	if t.idleTimeout == 0 {
		return t.attempt.resp.Body.Read(buf)
	}
	a := t.attempt
	if a.idleTimer == nil {
		a.idleTimer = time.AfterFunc(t.idleTimeout, func() { a.cancel(errBodyIdle) })
	} else {
		a.idleTimer.Reset(t.idleTimeout)
	}
	n, err := a.resp.Body.Read(buf)
	a.idleTimer.Stop()
	if err != nil && errors.Is(context.Cause(a.ctx), errBodyIdle) {
		t.m.opts.Backends.CloseIdle()
		err = errBodyIdle
	}
	return n, err
}
