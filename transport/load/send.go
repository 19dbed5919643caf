package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurebridge/internal/wait"
	"azurebridge/protocol/callers"
	"azurebridge/protocol/settings"
	"azurebridge/transport/standin"
	"azurebridge/transport/standin/content"
)

// Bounds of a caller's patience.
const (
	MaxAttempts   = 4                     // of one request
	MaxRetryAfter = 2 * time.Second       // longest wait that a caller honours
	maxReceipt    = 64 << 10              // bytes
	retryStep     = 50 * time.Millisecond // by which each wait without Retry-After grows
)

// order is one request to make.
type order struct {
	line     *settings.MixLine
	customer string
	caller   caller
	random   uint64 // chooses the item and the first entry instance to ask
	id       string // of a submission
	key      string // idempotency key; empty for none
	first    int    // index of the entry instance to try first
}

// result is the end of a request.
type result uint8

// Results.
const (
	resultOK result = iota
	resultNotRun
	resultUnknown
	resultFailed
)

// sender makes requests as a caller does.
type sender struct {
	http      *http.Client
	directory *directory
	told      *Told
	stats     *Stats
	rtt       time.Duration
}

// attempt is the outcome of one attempt.
type attempt struct {
	result result
	again  bool          // the caller may try again
	after  time.Duration // Retry-After
	moved  bool          // the entry instance could not be reached: the next one is tried
}

// do makes a request and tries again as far as its caller may.
func (s *sender) do(ctx context.Context, o *order) result {
	var offset int64 // bytes of the body that have arrived
	last := attempt{result: resultFailed}
	uncertain := false
	for n := 0; n < MaxAttempts; n++ {
		if n > 0 {
			s.stats.Retries.Add(1)
		}
		entries, err := s.directory.entries(ctx, o.caller, o.random)
		if err != nil {
			last = attempt{result: resultNotRun, again: true, after: time.Second}
		} else {
			at := (o.first + n) % len(entries)
			if o.line.Submission {
				last = s.submit(ctx, entries[at].Address, o)
				s.told.Add(o.id, outcomes[last.result])
			} else {
				last = s.fetch(ctx, entries[at].Address, o, &offset)
			}
		}
		uncertain = uncertain || last.result == resultUnknown
		if last.moved {
			s.directory.forget(o.caller)
		}
		if !last.again || ctx.Err() != nil {
			break
		}
		if !wait.For(ctx, min(max(last.after, time.Duration(n)*retryStep), MaxRetryAfter)) {
			break
		}
	}
	if !o.line.Submission && last.result == resultUnknown {
		return resultFailed // only of a submission does it matter whether it ran
	}
	if uncertain && last.result == resultNotRun {
		return resultUnknown // the refusal of a later attempt proves nothing about the earlier one
	}
	return last.result
}

var outcomes = map[result]callers.Outcome{
	resultOK: callers.OutcomeRan, resultNotRun: callers.OutcomeNotRun, resultUnknown: callers.OutcomeUnknown, resultFailed: callers.OutcomeUnknown,
}

// fetch reads a body, or the rest of it from the offset.
func (s *sender) fetch(ctx context.Context, address string, o *order, offset *int64) attempt {
	ctx, cancel := context.WithTimeout(ctx, o.line.Timeout)
	defer cancel()
	path := fmt.Sprintf("/%s/item-%06d", o.line.Service, o.random%uint64(o.line.Items))
	body := content.New(path, o.line.Size)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path+"?size="+strconv.FormatInt(o.line.Size, 10), nil)
	if err != nil {
		return attempt{result: resultFailed}
	}
	if *offset > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", *offset))
		req.Header.Set("If-Range", body.ETag())
		s.stats.Resumed.Add(1)
	}
	resp, err := s.send(req, o)
	if err != nil {
		return attempt{result: resultFailed, again: true, moved: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return refusal(resp, true)
	}
	at, err := start(resp, *offset)
	if err != nil {
		s.stats.WrongBody.Add(1)
		return attempt{result: resultFailed}
	}
	if o.line.ReadRate > 0 {
		resp.Body = &pacedBody{ReadCloser: resp.Body, ctx: ctx, rate: o.line.ReadRate, begin: time.Now()}
	}
	reached, found := check(resp, body, at)
	s.stats.Bytes.Add(uint64(reached - at))
	switch found {
	case foundWhole:
		return attempt{result: resultOK}
	case foundCut:
		s.stats.Cut.Add(1)
		*offset = reached
		return attempt{result: resultFailed, again: true}
	case foundTruncated:
		s.stats.Truncated.Add(1)
	default:
		s.stats.WrongBody.Add(1)
	}
	return attempt{result: resultFailed}
}

// submit sends a submission. Without a key it is sent again only when it is proved not to have run.
func (s *sender) submit(ctx context.Context, address string, o *order) attempt {
	ctx, cancel := context.WithTimeout(ctx, o.line.Timeout)
	defer cancel()
	sub := standin.Submission{ID: o.id}
	if pad := o.line.Size - int64(len(o.id)) - 20; pad > 0 {
		sub.Padding = string(bytes.Repeat([]byte{'x'}, int(pad)))
	}
	data, err := json.Marshal(sub)
	if err != nil {
		return attempt{result: resultNotRun}
	}
	// The body is wrapped so that net/http cannot send it again by itself.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+o.line.Service+"/new", io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return attempt{result: resultNotRun}
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	if o.key != "" {
		req.Header.Set(callers.HeaderIdempotencyKey, o.key)
	}
	resp, err := s.send(req, o)
	if err != nil {
		if notSent(err) {
			return attempt{result: resultNotRun, again: true, moved: true}
		}
		return attempt{result: resultUnknown, again: o.key != "", moved: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return refusal(resp, o.key != "")
	}
	receipt, err := io.ReadAll(io.LimitReader(resp.Body, maxReceipt))
	if err != nil {
		s.stats.Cut.Add(1)
		return attempt{result: resultUnknown, again: o.key != ""}
	}
	var got standin.Receipt
	if json.Unmarshal(receipt, &got) != nil || got.ID != o.id {
		s.stats.WrongBody.Add(1)
		return attempt{result: resultUnknown}
	}
	return attempt{result: resultOK}
}

// send adds what every request carries, and the network between the client and the entry instance.
func (s *sender) send(req *http.Request, o *order) (*http.Response, error) {
	req.Header.Set(callers.HeaderCustomer, o.customer)
	if o.line.Deadline > 0 {
		req.Header.Set(callers.HeaderDeadline, strconv.FormatInt(o.line.Deadline.Milliseconds(), 10))
	}
	if !wait.For(req.Context(), s.rtt) {
		return nil, &net.OpError{Op: "dial", Err: req.Context().Err()}
	}
	resp, err := s.http.Transport.RoundTrip(req)
	return resp, errors.Wrap(err, "send request")
}

// notSent reports whether an error proves that no byte of the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refusal reads an error answer. mayRepeat tells that the caller may repeat the request although it may have run.
func refusal(resp *http.Response, mayRepeat bool) attempt {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReceipt)) // so that the connection can be used again
	a := attempt{result: resultUnknown, again: mayRepeat}
	outcome := callers.Outcome(resp.Header.Get(callers.HeaderOutcome))
	if outcome == callers.OutcomeNotRun || (outcome == "" && resp.Header.Get(callers.HeaderNotRun) != "") {
		a = attempt{result: resultNotRun, again: true}
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		a.after = time.Duration(seconds) * time.Second
	}
	// 409 tells that an earlier request with the same key has not ended; the caller repeats until it has.
	pending := resp.StatusCode == http.StatusConflict && outcome == callers.OutcomeUnknown
	if resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests && !pending {
		a.again = false // the request itself is at fault
	}
	return a
}
