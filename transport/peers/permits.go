package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/coordination/quota"
	"azurebridge/internal/wait"
	"azurebridge/state"
	"azurebridge/state/routing"
)

const (
	// maxQueuedAnswers bounds the answers to requests for permits that wait to be sent. One that does not fit is dropped: the
	// asking instance asks the next owner.
	maxQueuedAnswers = 1024
	// contactInterval is the time between two reports to the control goroutine how long ago the store last answered.
	contactInterval = 250 * time.Millisecond
	// apartFrom is the time without an answer of the store after which an instance sends signs of life. Leases are renewed each
	// 1.1 s, so that it passes only after a renewal has failed. Two instances lose the store up to 1.1 s apart: with the first round of
	// signs in two reports, each hears from all others within 3 s of its own last answer, when owners begin to depend on them.
	apartFrom = 1300 * time.Millisecond
	// apartFor is how long an instance goes on with them after the store has answered: others may get their first answer later.
	apartFor = time.Second
	// aliveRound is the time in which an instance sends a sign of life to each other instance after the first round, and
	// maxAlivePerReport bounds those of one contactInterval, maxFirstPerReport those of the first round. Beyond 500 instances a round
	// takes longer, and owners without the store issue less.
	aliveRound        = 2 * time.Second
	maxAlivePerReport = 63
	maxFirstPerReport = 125
)

// PermitStats counts permits of customers.
type PermitStats struct {
	Asked     atomic.Uint64 // requests for permits sent
	Granted   atomic.Uint64 // permits received
	Refused   atomic.Uint64 // requests for permits refused by an owner
	Expired   atomic.Uint64 // permits received but not used in time
	Timeouts  atomic.Uint64 // requests for permits without an answer in time
	Late      atomic.Uint64 // answers that nobody awaits any more
	Held      atomic.Uint64 // requests admitted with a permit that was held
	Returned  atomic.Uint64 // permits of requests that no backend server has run
	OwnShare  atomic.Uint64 // requests admitted without an owner
	Exceeded  atomic.Uint64 // requests refused
	Issued    atomic.Uint64 // permits issued as an owner
	Unhandled atomic.Uint64 // requests for permits and answers dropped because a queue was full
	Alive     atomic.Uint64 // signs of life sent while the store does not answer
}

// holders holds the permits of this instance and the requests for permits that are not answered yet.
type holders struct {
	started state.Instant
	mu      sync.Mutex
	byName  map[state.CustomerName]*quota.Holder
	waiting map[uint64]chan quota.Granted
}

func newHolders(started state.Instant) holders {
	return holders{started: started, byName: make(map[state.CustomerName]*quota.Holder), waiting: make(map[uint64]chan quota.Granted)}
}

// answerTo is an answer to a request for permits with the address that it goes to.
type answerTo struct {
	granted quota.Granted
	to      netip.AddrPort
}

// Admit decides whether a request of a customer may be sent to a backend server. It waits for owners of the customer for at most
// the given time. A customer without a quota is admitted at once.
func (n *Node) Admit(ctx context.Context, customer *routing.Customer, wait time.Duration) quota.Decision {
	v := n.opts.Loop.View()
	if customer == nil || !v.Customers.Binds(customer.Quota) {
		return quota.Decision{Admitted: true}
	}
	now := n.opts.Loop.Now()
	h := n.holder(v, customer)
	h.Record(now)
	if until, ok := h.Take(now); ok {
		n.Permits.Held.Add(1)
		n.logCalm(h, customer, now)
		return quota.Decision{Admitted: true, Until: until}
	}
	deadline := now.Add(wait)
	var asked, refused []state.InstanceName
	for now.Before(deadline) && ctx.Err() == nil {
		a, ok := h.Next(now, asked)
		if !ok {
			break
		}
		asked = append(asked, a.Owner.Name)
		a.Timeout = min(a.Timeout, deadline.Sub(now))
		answer, ok := n.ask(ctx, v, customer.Name, a)
		now = n.opts.Loop.Now()
		switch {
		case ok:
			n.Permits.Granted.Add(uint64(answer.Count))
			if until, ok := h.Answered(now, a, answer); ok {
				n.logCalm(h, customer, now)
				return quota.Decision{Admitted: true, Until: until}
			}
			if answer.Count == 0 {
				n.Permits.Refused.Add(1)
			}
			if answer.Count == 0 && !answer.NotOwner {
				refused = append(refused, a.Owner.Name)
			}
		case ctx.Err() != nil:
			h.Abandon(a)
		default:
			n.Permits.Timeouts.Add(1)
			h.Silent(now, a)
		}
	}
	if until, ok := h.Take(now); ok { // another request's batch has arrived meanwhile
		n.Permits.Held.Add(1)
		return quota.Decision{Admitted: true, Until: until}
	}
	allowed, retryAfter := h.Fallback(now, refused, rand.Float64())
	if allowed {
		n.Permits.OwnShare.Add(1)
		return quota.Decision{Admitted: true}
	}
	n.Permits.Exceeded.Add(1)
	if h.Exceed(now) {
		n.opts.Log.Info("requests of a customer exceed its quota", "customer", string(customer.Name), "asked", len(asked),
			"refused", len(refused), "retry_after_ms", retryAfter.Milliseconds())
	}
	return quota.Decision{RetryAfter: retryAfter}
}

// Return gives back the permit of a request that no backend server has run.
func (n *Node) Return(customer *routing.Customer, until state.Instant) {
	n.holders.mu.Lock()
	h := n.holders.byName[customer.Name]
	n.holders.mu.Unlock()
	if h != nil && until != 0 {
		n.Permits.Returned.Add(1)
		h.Return(n.opts.Loop.Now(), until)
	}
}

// logCalm logs that a customer no longer exceeds its quota.
func (n *Node) logCalm(h *quota.Holder, customer *routing.Customer, now state.Instant) {
	if h.Calm(now) {
		n.opts.Log.Info("requests of a customer are within its quota again", "customer", string(customer.Name))
	}
}

// holder returns the holder of a customer, up to date with the view.
func (n *Node) holder(v *catalog.View, customer *routing.Customer) *quota.Holder {
	n.holders.mu.Lock()
	h := n.holders.byName[customer.Name]
	if h == nil {
		h = quota.NewHolder(n.holders.started, &n.Permits.Expired)
		n.holders.byName[customer.Name] = h
	}
	n.holders.mu.Unlock()
	h.Update(customer, quota.Basis{
		Self: n.opts.Self, Region: n.opts.Region, Bound: v.Customers, Peers: v.Owners, PeersSeen: v.OwnersSeen, Instances: v.Instances,
	})
	return h
}

// ask sends a request for permits to an owner, which may be this instance, and waits for its answer. It returns false when there is
// none in time.
func (n *Node) ask(ctx context.Context, v *catalog.View, customer state.CustomerName, a quota.Attempt) (quota.Granted, bool) {
	ask := quota.Ask{ID: rand.Uint64(), From: n.opts.Self, Customer: customer, Count: a.Count}
	answer := make(chan quota.Granted, 1)
	if a.Owner.Name == n.opts.Self {
		n.post(catalog.AskPermits{Ask: ask, Away: n.opts.Away(), Answer: func(granted quota.Granted) { answer <- granted }})
	} else {
		n.holders.mu.Lock()
		n.holders.waiting[ask.ID] = answer
		n.holders.mu.Unlock()
		defer func() {
			n.holders.mu.Lock()
			delete(n.holders.waiting, ask.ID)
			n.holders.mu.Unlock()
		}()
		n.send(v, []routing.Peer{a.Owner}, &gossip.Message{Permits: &gossip.PermitMessage{Apart: n.apart(), Ask: &ask}})
	}
	n.Permits.Asked.Add(1)
	timer := time.NewTimer(a.Timeout)
	defer timer.Stop()
	select {
	case granted := <-answer:
		return granted, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return quota.Granted{}, false
}

// post hands an event to the control goroutine, unless its queue is full.
func (n *Node) post(ev catalog.Event) {
	if !n.opts.Loop.Post(ev) {
		n.Permits.Unhandled.Add(1)
	}
}

// receivePermits handles a message about permits.
func (n *Node) receivePermits(m *gossip.Message, from netip.AddrPort) {
	switch p := m.Permits; {
	case n.opts.Away == nil:
	case p.Ask != nil:
		n.post(catalog.AskPermits{Ask: *p.Ask, Apart: p.Apart, Away: n.opts.Away(), Answer: func(granted quota.Granted) {
			n.Permits.Issued.Add(uint64(granted.Count))
			select {
			case n.answers <- answerTo{granted, from}:
			default:
				n.Permits.Unhandled.Add(1)
			}
		}})
	case p.Granted != nil:
		if p.Apart {
			n.post(catalog.HeardApart{From: m.From})
		}
		n.holders.mu.Lock()
		answer := n.holders.waiting[p.Granted.ID]
		delete(n.holders.waiting, p.Granted.ID) // a repeated datagram counts once
		n.holders.mu.Unlock()
		if answer == nil {
			n.Permits.Late.Add(1)
			return
		}
		answer <- *p.Granted
	case p.Apart:
		n.post(catalog.HeardApart{From: m.From})
	}
}

// sendAnswers sends the answers to requests for permits until ctx ends.
func (n *Node) sendAnswers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.answers:
			v := n.opts.Loop.View()
			if len(v.FleetKey) == 0 {
				continue
			}
			if data := n.encode(v, &gossip.Message{Permits: &gossip.PermitMessage{Apart: n.apart(), Granted: &a.granted}}); data != nil {
				n.write(data, a.to)
			}
		}
	}
}

// reportContact reports to the control goroutine how long ago the store last answered, until ctx ends. While it does not answer,
// signs of life go to the other instances in turn, since owners issue permits only in proportion to those that they hear from.
func (n *Node) reportContact(ctx context.Context) {
	if n.opts.Away == nil {
		return
	}
	var apartUntil state.Instant
	next, first := 0, 0 // first is the number of instances that the first round has yet to reach
	wait.Every(ctx, contactInterval, func() {
		v := n.opts.Loop.View()
		if !limitsCustomers(v) {
			return
		}
		now, away := n.opts.Loop.Now(), n.opts.Away()
		n.post(catalog.ContactChecked{Away: away})
		if n.apart() {
			if !now.Before(apartUntil) {
				first = len(v.Peers)
			}
			apartUntil = now.Add(apartFor)
		}
		if now.Before(apartUntil) {
			count := min(maxAlivePerReport, len(v.Peers)*int(contactInterval/time.Millisecond)/int(aliveRound/time.Millisecond)+1)
			if first > 0 {
				count = max(count, min(maxFirstPerReport, (len(v.Peers)+1)/2))
				first -= count
			}
			next = n.sendAlive(v, next, count)
		}
	})
}

// apart reports whether the store has not answered for apartFrom. A process that has just started is not apart yet: others would count
// it as one that cannot reach the store.
func (n *Node) apart() bool {
	return min(n.opts.Away(), n.opts.Loop.Now().Sub(n.holders.started)) > apartFrom
}

// sendAlive sends signs of life to the count instances that are next in turn, and returns where the following ones begin.
func (n *Node) sendAlive(v *catalog.View, next, count int) int {
	if len(v.Peers) == 0 || len(v.FleetKey) == 0 {
		return next
	}
	data := n.encode(v, &gossip.Message{Permits: &gossip.PermitMessage{Apart: true}})
	if data == nil {
		return next
	}
	for range count {
		p := v.Peers[next%len(v.Peers)]
		next = (next + 1) % len(v.Peers)
		if to, err := netip.ParseAddrPort(p.PeerAddress); err == nil && p.Name != n.opts.Self && n.write(data, to) {
			n.Permits.Alive.Add(1)
		}
	}
	return next
}

// limitsCustomers reports whether the view has a customer with a quota.
func limitsCustomers(v *catalog.View) bool {
	if v.Customers.Window == 0 || v.Table == nil {
		return false
	}
	for i := range v.Table.Customers {
		if v.Customers.Binds(v.Table.Customers[i].Quota) {
			return true
		}
	}
	return false
}
