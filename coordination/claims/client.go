package claims

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds and intervals of the client.
const (
	MaxPendingClaims = 2048                   // claims that wait for a reply
	MaxReports       = 8192                   // outcomes that wait for an acknowledgement
	ClaimResend      = 400 * time.Millisecond // after which an unanswered claim is sent again
	ClaimTimeout     = 3 * time.Second        // after which a claim ends without a reply
	ReportResend     = time.Second            // first resend interval of an outcome; doubles up to ReportResendMax
	ReportResendMax  = 30 * time.Second
	ReportTimeout    = 30 * time.Minute // after which an unacknowledged outcome is dropped; its key then stays pending
)

// Waiter receives the reply to a claim. Claimed is called once by the control goroutine and must not block. It returns
// false if the submission no longer waits for the reply; the attempt is then never sent.
type Waiter interface {
	Claimed(*message.ClaimReply) bool
}

// WriterOf returns the writer of a shard, or "" if none is known.
type WriterOf func(Shard) state.InstanceName

type pendingClaim struct {
	request *message.ClaimRequest
	waiter  Waiter
	writer  state.InstanceName // that the claim was last sent to
	sends   int
	sentAt  state.Instant
	endsAt  state.Instant
}

type pendingReport struct {
	report *message.OutcomeReport
	writer state.InstanceName
	wait   time.Duration
	sentAt state.Instant
	endsAt state.Instant
}

// Client claims keys for the submissions of one entry instance. It belongs to the control goroutine.
type Client struct {
	writerOf WriterOf
	claims   map[message.AttemptID]*pendingClaim
	reports  map[message.AttemptID]*pendingReport
	out      []Outbound
	Stats    Stats
}

// NewClient returns a client without claims.
func NewClient(writerOf WriterOf) *Client {
	return &Client{
		writerOf: writerOf,
		claims:   make(map[message.AttemptID]*pendingClaim), reports: make(map[message.AttemptID]*pendingReport),
	}
}

// Claim requests the right to send one attempt and passes the reply to w. The attempt id must be new.
func (c *Client) Claim(now state.Instant, m *message.ClaimRequest, w Waiter) {
	p := &pendingClaim{request: m, waiter: w, endsAt: now.Add(ClaimTimeout)}
	if len(c.claims) >= MaxPendingClaims {
		c.Stats.QueueFull++
		c.finish(now, p, &message.ClaimReply{Status: message.ClaimUnavailable})
		return
	}
	c.claims[m.Attempt] = p
	c.send(now, p)
}

func (c *Client) send(now state.Instant, p *pendingClaim) {
	p.writer, p.sentAt = c.writerOf(ShardOf(p.request.Key)), now
	if p.writer == "" {
		return
	}
	p.sends++
	c.out = append(c.out, Outbound{p.writer, p.request})
}

// Reply handles the reply of a writer. A grant that is handled after ClaimTimeout, because this instance was paused,
// becomes ClaimUncertain: its record may have expired.
func (c *Client) Reply(now state.Instant, m *message.ClaimReply) {
	p := c.claims[m.Attempt]
	if p == nil || p.request.Key != m.Key {
		return // already answered or timed out; an attempt that timed out is never sent, whatever the reply says
	}
	if p.endsAt.Before(now) {
		m = &message.ClaimReply{Status: message.ClaimUncertain}
	}
	c.finish(now, p, m)
}

// finish passes the reply to the waiter. ClaimUnavailable proves that the claim is not in the log only if the claim was
// sent at most once; otherwise it becomes ClaimUncertain.
func (c *Client) finish(now state.Instant, p *pendingClaim, m *message.ClaimReply) {
	delete(c.claims, p.request.Attempt)
	r := *m
	r.Key, r.Attempt = p.request.Key, p.request.Attempt
	if r.Status == message.ClaimUnavailable && p.sends > 1 {
		r.Status = message.ClaimUncertain
	}
	waiting := p.waiter.Claimed(&r)
	switch r.Status {
	case message.ClaimGranted:
		c.Stats.Granted++
	case message.ClaimUnavailable:
		c.Stats.Unavailable++
	case message.ClaimUncertain:
		c.Stats.Uncertain++
	}
	if r.Status == message.ClaimUncertain || r.Status == message.ClaimGranted && !waiting {
		// The attempt is never sent from here on, so the key can be released if the claim is in the log.
		c.Report(now, &message.OutcomeReport{
			Key: r.Key, Attempt: r.Attempt, Fingerprint: p.request.Fingerprint, Outcome: message.Outcome{Kind: message.OutcomeNotRun},
		})
	}
}

// Report sends the outcome of an attempt until a writer acknowledges it.
func (c *Client) Report(now state.Instant, m *message.OutcomeReport) {
	c.Stats.Reports++
	if len(c.reports) >= MaxReports {
		c.Stats.LostReports++
		return
	}
	p := &pendingReport{report: m, wait: ReportResend, endsAt: now.Add(ReportTimeout)}
	c.reports[m.Attempt] = p
	c.sendReport(now, p)
}

func (c *Client) sendReport(now state.Instant, p *pendingReport) {
	p.writer, p.sentAt = c.writerOf(ShardOf(p.report.Key)), now
	if p.writer != "" {
		c.out = append(c.out, Outbound{p.writer, p.report})
	}
}

// Acknowledge stops the resending of an outcome, which is now in the log.
func (c *Client) Acknowledge(m *message.OutcomeAck) {
	if p := c.reports[m.Attempt]; p != nil && p.report.Key == m.Key {
		delete(c.reports, m.Attempt)
	}
}

// Unacknowledged returns the number of outcomes that are not known to be in the log.
func (c *Client) Unacknowledged() int { return len(c.reports) }

// Tick resends claims and outcomes that got no reply, and ends those that have timed out.
func (c *Client) Tick(now state.Instant) {
	for _, p := range c.claims {
		writerChanged := c.writerOf(ShardOf(p.request.Key)) != p.writer
		switch {
		case p.endsAt.Before(now) && p.sends == 0:
			c.finish(now, p, &message.ClaimReply{Status: message.ClaimUnavailable})
		case p.endsAt.Before(now):
			c.finish(now, p, &message.ClaimReply{Status: message.ClaimUncertain})
		case writerChanged || now.Sub(p.sentAt) >= ClaimResend:
			c.send(now, p)
		}
	}
	for id, p := range c.reports {
		writerChanged := c.writerOf(ShardOf(p.report.Key)) != p.writer
		switch {
		case p.endsAt.Before(now):
			c.Stats.LostReports++
			delete(c.reports, id)
		case writerChanged || now.Sub(p.sentAt) >= p.wait:
			p.wait = min(2*p.wait, ReportResendMax)
			c.sendReport(now, p)
		}
	}
}

// TakeOutbound returns and clears the messages to send.
func (c *Client) TakeOutbound() []Outbound {
	out := c.out
	c.out = nil
	return out
}
