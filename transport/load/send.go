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

// Bounds of a caller's retries.
const (
	MaxAttempts   = 4                     // of one call
	MaxRetryAfter = 2 * time.Second       // max wait before a retry, also if Retry-After is longer
	maxReceipt    = 64 << 10              // bytes
	retryStep     = 50 * time.Millisecond // growth of the wait with each retry without Retry-After, starting at 0
)

// call is one request of a caller, which may take several attempts.
type call struct {
	line     *settings.MixLine
	customer string
	caller   caller
	random   uint64 // selects the item and the first listed entry instance to send a look-up to
	id       string // of a submission
	key      string // idempotency key; empty for none
	first    int    // index of the entry instance to try first
}

// result is the final result of a call, or that of one attempt.
type result uint8

const (
	resultOK result = iota
	resultNotRun
	resultUnknown
	resultFailed
)

// sender sends requests as a caller does.
type sender struct {
	http      *http.Client
	ahead     *aheadTransport // for mix lines whose requests are sent ahead of answers
	directory *directory
	outcomes  *OutcomeLog
	stats     *Stats
	rtt       time.Duration // simulated, between the client and the entry instance
}

// attempt holds the result of one attempt, and what the caller may do next.
type attempt struct {
	result     result
	retry      bool          // the caller may try again
	retryAfter time.Duration // Retry-After
	noResponse bool          // the entry instance sent no response: the next attempt looks up entry instances again
}

// do makes a call. It retries as long as a caller may, with at most MaxAttempts attempts.
func (s *sender) do(ctx context.Context, c *call) result {
	var offset int64 // bytes of the body received so far
	last := attempt{result: resultFailed}
	uncertain := false
	for n := 0; n < MaxAttempts; n++ {
		if n > 0 {
			s.stats.Retries.Add(1)
		}
		entries, err := s.directory.entries(ctx, c.caller, c.random)
		if err != nil {
			last = attempt{result: resultNotRun, retry: true, retryAfter: time.Second}
		} else {
			index := (c.first + n) % len(entries)
			if c.line.Submission {
				last = s.submit(ctx, entries[index].Address, c)
				s.outcomes.Add(c.id, outcomeOfResult[last.result])
			} else {
				last = s.fetch(ctx, entries[index].Address, c, &offset)
			}
		}
		uncertain = uncertain || last.result == resultUnknown
		if last.noResponse {
			s.directory.expire(c.caller)
		}
		if !last.retry || ctx.Err() != nil {
			break
		}
		if !wait.For(ctx, min(max(last.retryAfter, time.Duration(n)*retryStep), MaxRetryAfter)) {
			break
		}
	}
	if !c.line.Submission && last.result == resultUnknown {
		return resultFailed // whether a request ran matters only for submissions
	}
	if uncertain && last.result == resultNotRun {
		return resultUnknown // the refusal of a later attempt does not prove that an earlier one did not run
	}
	return last.result
}

// outcomeOfResult maps the result of an attempt to the outcome that the caller knows.
var outcomeOfResult = map[result]callers.Outcome{
	resultOK: callers.OutcomeRan, resultNotRun: callers.OutcomeNotRun, resultUnknown: callers.OutcomeUnknown, resultFailed: callers.OutcomeUnknown,
}

// fetch reads a body, or the rest of it from the offset.
func (s *sender) fetch(ctx context.Context, address string, c *call, offset *int64) attempt {
	ctx, cancel := context.WithTimeout(ctx, c.line.Timeout)
	defer cancel()
	path := fmt.Sprintf("/%s/item-%06d", c.line.Service, c.random%uint64(c.line.Items))
	body := content.New(path, c.line.Size)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path+"?size="+strconv.FormatInt(c.line.Size, 10), nil)
	if err != nil {
		return attempt{result: resultFailed}
	}
	if *offset > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", *offset))
		req.Header.Set("If-Range", body.ETag())
		s.stats.Resumed.Add(1)
	}
	resp, err := s.send(req, c)
	if err != nil {
		return attempt{result: resultFailed, retry: true, noResponse: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return s.readErrorResponse(resp, true)
	}
	from, err := bodyOffset(resp, *offset)
	if err != nil {
		s.stats.WrongBody.Add(1)
		return attempt{result: resultFailed}
	}
	if c.line.ReadRate > 0 {
		resp.Body = &pacedBody{ReadCloser: resp.Body, ctx: ctx, rate: c.line.ReadRate, begin: time.Now()}
	}
	end, check := checkBody(resp, body, from)
	s.stats.Bytes.Add(uint64(end - from))
	switch check {
	case bodyWhole:
		return attempt{result: resultOK}
	case bodyAborted:
		s.stats.Cut.Add(1)
		*offset = end
		return attempt{result: resultFailed, retry: true}
	case bodyTruncated:
		s.stats.Truncated.Add(1)
	default:
		s.stats.WrongBody.Add(1)
	}
	return attempt{result: resultFailed}
}

// submit sends a submission. Without an idempotency key it may be retried only if it is proved not to have run.
func (s *sender) submit(ctx context.Context, address string, c *call) attempt {
	ctx, cancel := context.WithTimeout(ctx, c.line.Timeout)
	defer cancel()
	sub := standin.Submission{ID: c.id}
	if pad := c.line.Size - int64(len(c.id)) - 20; pad > 0 {
		sub.Padding = string(bytes.Repeat([]byte{'x'}, int(pad)))
	}
	data, err := json.Marshal(sub)
	if err != nil {
		return attempt{result: resultNotRun}
	}
	// The body is wrapped so that net/http cannot retry the request by itself.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+c.line.Service+"/new", io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return attempt{result: resultNotRun}
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set(callers.HeaderIdempotencyKey, c.key)
	}
	resp, err := s.send(req, c)
	if err != nil {
		if notSent(err) {
			return attempt{result: resultNotRun, retry: true, noResponse: true}
		}
		return attempt{result: resultUnknown, retry: c.key != "", noResponse: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return s.readErrorResponse(resp, c.key != "")
	}
	receipt, err := io.ReadAll(io.LimitReader(resp.Body, maxReceipt))
	if err != nil {
		s.stats.Cut.Add(1)
		return attempt{result: resultUnknown, retry: c.key != ""}
	}
	var got standin.Receipt
	if json.Unmarshal(receipt, &got) != nil || got.ID != c.id {
		s.stats.WrongBody.Add(1)
		return attempt{result: resultUnknown}
	}
	return attempt{result: resultOK}
}

// send adds the common headers, waits for the simulated round-trip time, and sends the request. If the context ends during the
// wait, the error is one of dialing, as nothing was sent.
func (s *sender) send(req *http.Request, c *call) (*http.Response, error) {
	req.Header.Set(callers.HeaderCustomer, c.customer)
	if c.line.Deadline > 0 {
		req.Header.Set(callers.HeaderDeadline, strconv.FormatInt(c.line.Deadline.Milliseconds(), 10))
	}
	if !wait.For(req.Context(), s.rtt) {
		return nil, &net.OpError{Op: "dial", Err: req.Context().Err()}
	}
	transport := s.http.Transport
	if c.line.Ahead {
		transport = s.ahead
	}
	resp, err := transport.RoundTrip(req)
	return resp, errors.Wrap(err, "send request")
}

// notSent reports whether an error proves that no byte of the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readErrorResponse reads an error response to its end and derives the attempt from it. One that ends early states nothing. mayRetry
// allows a retry of a request that may have run.
func (s *sender) readErrorResponse(resp *http.Response, mayRetry bool) attempt {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxReceipt)); err != nil {
		s.stats.Cut.Add(1)
		return attempt{result: resultUnknown, retry: mayRetry}
	}
	return classifyErrorResponse(resp, mayRetry)
}

// classifyErrorResponse derives the attempt from the head of an error response. mayRetry allows a retry of a request that may have run.
func classifyErrorResponse(resp *http.Response, mayRetry bool) attempt {
	a := attempt{result: resultUnknown, retry: mayRetry}
	outcome := callers.Outcome(resp.Header.Get(callers.HeaderOutcome))
	if outcome == callers.OutcomeNotRun || (outcome == "" && resp.Header.Get(callers.HeaderNotRun) != "") {
		a = attempt{result: resultNotRun, retry: true}
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	// 409 with outcome unknown means that an earlier request with the same key is still running; the caller retries until it ends.
	pending := resp.StatusCode == http.StatusConflict && outcome == callers.OutcomeUnknown
	if resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests && !pending {
		a.retry = false // the request itself is at fault
	}
	return a
}
