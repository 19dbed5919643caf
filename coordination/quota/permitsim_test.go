package quota

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// Times of the simulated instances, network and store.
const (
	simLease     = 3500 * time.Millisecond // of an instance's entry in the store
	simRenewal   = 1100 * time.Millisecond
	simListDelay = 2800 * time.Millisecond // the longest time until an instance in contact knows a change of the list
	simReport    = 250 * time.Millisecond
	simApart     = 1300 * time.Millisecond
	simApartFor  = time.Second
	simWait      = 250 * time.Millisecond // for permits
)

// permitEvent is something that happens later.
type permitEvent struct {
	at  state.Instant
	seq int
	run func()
}

type eventHeap []permitEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(permitEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simInstance is an instance with the real issuer and holders.
type simInstance struct {
	peer      routing.Peer
	process   int // number of the running process; 0 while none runs
	issuer    *Issuer
	holders   []*Holder // by customer
	peers     []routing.Peer
	seen      uint64
	list      PeerList
	customers []routing.Customer
	version   int           // of customers
	answered  state.Instant // last answer of the store
	started   state.Instant // of the process
	joined    state.Instant // of the instance, for its entry
	apartTill state.Instant
	side      int           // of a partition
	noStore   bool          // cut off from the store only
	listDelay time.Duration // until it applies a list that it has read; 0 for a random one, simListDelay*3/4 at most
	weight    float64
	next      int // whom the next sign of life goes to
	first     int // how many the first round of them has yet to reach
	messages  int // sent and received
}

// simCustomer is a customer with the requests that reached backend servers.
type simCustomer struct {
	demand  float64 // requests/s over all instances
	quotas  []datedQuota
	arrived []state.Instant
	asked   int // requests of callers
	refused int
	down    int     // part of refused at instances that did not run or had no routing table
	peak    float64 // highest part of the bound that was used
}

// datedQuota is a quota with the version of the routing table that brought it.
type datedQuota struct {
	version int
	known   state.Instant // when all running instances had that version; 0 before
	routing.Quota
}

// permitSim runs instances that share quotas, on a simulated clock and network.
type permitSim struct {
	random       *rand.Rand
	now          state.Instant
	events       eventHeap
	seq          int
	processes    int
	bound        CustomerBound
	customers    []routing.Customer // of the newest routing table
	version      int                // of that table
	state        []*simCustomer
	instances    []*simInstance
	byName       map[state.InstanceName]*simInstance
	leases       map[state.InstanceName]state.Instant
	joined       map[state.InstanceName]state.Instant // of the entries
	leasesEnd    bool
	storeAway    bool
	loss         float64
	slow         bool // datagrams take up to 300 ms
	retries      bool // callers send a refused request once more
	renewalsOnly bool // only the answers to renewals count as contact
	fastStart    bool // a new process knows a list within 200 ms
	broken       string
	messages     int
	listed       []routing.Peer      // last result of list
	pick         func() *simInstance // replaces weighted
	expired      atomic.Uint64
	// Broken variants.
	fullStart, keepForever, wholeSide, skipWait, skipYoung, trustNew bool
}

func newPermitSim(seed uint64, instances, regions int, customers []routing.Customer) *permitSim {
	s := &permitSim{
		random: rand.New(rand.NewPCG(seed, 7)), now: state.Instant(time.Hour), leases: make(map[state.InstanceName]state.Instant), joined: make(map[state.InstanceName]state.Instant),
		bound: CustomerBound{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}, customers: customers, leasesEnd: true, byName: make(map[state.InstanceName]*simInstance),
	}
	for _, c := range customers {
		s.state = append(s.state, &simCustomer{demand: 0.62 * c.Quota.Rate, quotas: []datedQuota{{0, 0, c.Quota}}})
	}
	for n := range instances {
		name := fmt.Sprintf("front-%03d", n)
		s.instances = append(s.instances, &simInstance{weight: 1, peer: routing.Peer{
			Name: state.InstanceName(name), Region: state.RegionName(fmt.Sprint("region-", n%regions)), PeerAddress: name,
		}})
		s.byName[state.InstanceName(name)] = s.instances[n]
	}
	return s
}

func (s *permitSim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, permitEvent{s.now.Add(d), s.seq, run})
}

func (s *permitSim) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// inContact reports whether the store answers an instance.
func (s *permitSim) inContact(i *simInstance) bool { return !s.storeAway && !i.noStore && i.side == 0 }

// start starts a process of an instance.
func (s *permitSim) start(i *simInstance) {
	s.processes++
	i.process, i.started, i.joined = s.processes, s.now, s.now
	i.issuer = NewIssuer(i.peer.Name)
	i.issuer.fullStart, i.issuer.wholeSide, i.issuer.skipWait, i.issuer.trustNew, i.issuer.skipYoung = s.fullStart, s.wholeSide, s.skipWait, s.trustNew, s.skipYoung
	i.holders, i.peers, i.answered, i.customers, i.version, i.seen = nil, nil, 0, nil, 0, 0
	i.list, i.first, i.apartTill = PeerList{}, 0, 0
	for range s.customers {
		h := NewHolder(s.now, &s.expired)
		h.keepForever = s.keepForever
		i.holders = append(i.holders, h)
	}
	process := i.process
	s.every(i, process, simRenewal, func() {
		if s.inContact(i) && i.seen > 0 { // an instance registers when it has a table
			s.register(i)
			i.answered = s.now
		}
	})
	if s.fastStart {
		s.after(s.upTo(200*time.Millisecond), func() {
			if i.process == process {
				s.firstList(i)
			}
		})
	}
	// A change of the list takes up to simListDelay to an instance: it reads the list and applies it later.
	s.every(i, process, simListDelay/4, func() {
		if !s.inContact(i) {
			if i.seen == 0 {
				s.askPeer(i)
			}
			return
		}
		if !s.renewalsOnly {
			i.answered = s.now
		}
		if !s.leasesEnd {
			return
		}
		list, customers, version := s.list(), slices.Clone(s.customers), s.version
		s.after(cmp.Or(i.listDelay, s.upTo(simListDelay/2)), func() {
			if i.process == process {
				s.begin(i, list, true)
				s.update(i, list, customers, version)
			}
		})
	})
	s.every(i, process, simReport, func() { s.report(i) })
}

// begin lets a new process apply its first list.
func (s *permitSim) begin(i *simInstance, list []routing.Peer, fromStore bool) {
	if i.seen > 0 {
		return
	}
	joined, known := s.joined[i.peer.Name]
	if !known || !containsPeer(list, i.peer.Name) {
		joined = i.started
	}
	i.joined = joined
	i.issuer.Begin(s.now, i.started.Sub(joined), fromStore)
}

// register writes an instance's entry.
func (s *permitSim) register(i *simInstance) {
	s.leases[i.peer.Name], s.joined[i.peer.Name] = s.now.Add(simLease), i.joined
}

// firstList gives a new process the list of the store, or of another instance when the store does not answer.
func (s *permitSim) firstList(i *simInstance) {
	if !s.inContact(i) {
		s.askPeer(i)
		return
	}
	i.answered = s.now
	list := s.list()
	s.begin(i, list, true)
	customers, version, process := slices.Clone(s.customers), s.version, i.process
	s.update(i, list, customers, version)
	s.register(i)
	registered := s.list()
	s.after(s.upTo(100*time.Millisecond), func() {
		if i.process == process {
			s.update(i, registered, customers, version)
		}
	})
}

// askPeer gives an instance the list and the customers of another one that it reaches: of three, the one with the newest.
func (s *permitSim) askPeer(i *simInstance) {
	var newest *simInstance
	for range 3 {
		o := s.instances[s.random.IntN(len(s.instances))]
		if o != i && o.process != 0 && o.seen > 0 && o.side == i.side && (newest == nil || newest.answered.Before(o.answered)) {
			newest = o
		}
	}
	if newest == nil {
		return
	}
	s.begin(i, newest.peers, false)
	s.update(i, newest.peers, newest.customers, newest.version)
}

// every calls work at regular intervals while the process runs.
func (s *permitSim) every(i *simInstance, process int, interval time.Duration, work func()) {
	var next func()
	next = func() {
		if i.process != process {
			return
		}
		work()
		s.after(interval*9/10+s.upTo(interval/10), next)
	}
	s.after(s.upTo(interval), next)
}

// list returns the instances that the store lists.
func (s *permitSim) list() []routing.Peer {
	out := make([]routing.Peer, 0, len(s.instances))
	for _, i := range s.instances {
		if until, ok := s.leases[i.peer.Name]; ok && (!s.leasesEnd || s.now.Before(until)) {
			out = append(out, i.peer)
		}
	}
	if slices.Equal(out, s.listed) {
		return s.listed // the same slice, which is compared faster
	}
	s.listed = out
	return out
}

// preset gives all instances the whole list, as after a long time in contact, and keeps it as it is.
func (s *permitSim) preset() {
	s.leasesEnd = false
	for _, i := range s.instances {
		s.start(i)
		s.leases[i.peer.Name] = s.now
	}
	list := s.list()
	for _, i := range s.instances {
		i.answered = s.now
		s.update(i, list, s.customers, 0)
		i.issuer.Tick(s.now, 0)
	}
	s.run(6 * time.Second)
	s.messages = 0
}

// update gives an instance the list and a version of the routing table. The version is recorded as known when all have it.
func (s *permitSim) update(i *simInstance, list []routing.Peer, customers []routing.Customer, version int) {
	if version < i.version {
		return
	}
	i.version = version
	for _, m := range s.state {
		for n := range m.quotas {
			q := &m.quotas[n]
			if q.known == 0 && !slices.ContainsFunc(s.instances, func(i *simInstance) bool {
				return i.process != 0 && len(i.customers) > 0 && i.version < q.version
			}) {
				q.known = s.now
			}
		}
	}
	i.list.Update(s.now, list)
	list = i.list.Peers(s.now)
	if due, ok := i.list.Due(); ok {
		process := i.process
		s.after(due.Sub(s.now), func() {
			if i.process == process {
				s.apply(i, i.list.Peers(s.now), i.customers)
			}
		})
	}
	s.apply(i, list, customers)
}

// apply lets owners follow from a list and customers.
func (s *permitSim) apply(i *simInstance, list []routing.Peer, customers []routing.Customer) {
	same := len(list) > 0 && len(i.peers) == len(list) && &list[0] == &i.peers[0]
	if i.seen > 0 && (same || slices.Equal(list, i.peers)) && slices.EqualFunc(customers, i.customers, func(a, b routing.Customer) bool { return a.Quota == b.Quota }) {
		return
	}
	i.seen++
	i.peers, i.customers = list, customers
	i.issuer.Update(s.now, s.bound, list, customers)
}

func (s *permitSim) away(i *simInstance) time.Duration {
	if i.answered == 0 {
		return time.Hour
	}
	return s.now.Sub(i.answered)
}

// apart reports whether an instance states that the store does not answer it.
func (s *permitSim) apart(i *simInstance) bool {
	return min(s.away(i), s.now.Sub(i.started)) > simApart
}

func (s *permitSim) report(i *simInstance) {
	i.issuer.Tick(s.now, s.away(i))
	if s.apart(i) {
		if !s.now.Before(i.apartTill) {
			i.first = len(i.peers)
		}
		i.apartTill = s.now.Add(simApartFor)
	}
	if !s.now.Before(i.apartTill) {
		return
	}
	count := min(63, len(i.peers)/8+1)
	if i.first > 0 {
		count = max(count, min(125, (len(i.peers)+1)/2))
		i.first -= count
	}
	for range count {
		if len(i.peers) == 0 {
			return
		}
		p := i.peers[i.next%len(i.peers)]
		i.next++
		s.send(i, p.Name, func(to *simInstance) { to.issuer.Hear(s.now, i.peer.Name) })
	}
}

// send sends a datagram from an instance to another one, or to itself.
func (s *permitSim) send(from *simInstance, name state.InstanceName, receive func(to *simInstance)) {
	to := s.byName[name]
	delay := 700*time.Microsecond + s.upTo(500*time.Microsecond)
	if to.peer.Region != from.peer.Region {
		delay += 17 * time.Millisecond
	}
	if to == from {
		delay = s.upTo(100 * time.Microsecond)
	} else {
		s.messages++
		from.messages++
		to.messages++
		if from.side != to.side || s.random.Float64() < s.loss {
			return
		}
		if s.slow {
			delay += s.upTo(300 * time.Millisecond)
		}
	}
	s.after(delay, func() {
		if to.process != 0 {
			receive(to)
		}
	})
}

// simRequest is a caller's request that waits for a permit.
type simRequest struct {
	i              *simInstance
	process        int
	c              int
	deadline       state.Instant
	asked, refused []state.InstanceName
	last           bool // the caller does not try again
}

// request sends one request of a customer through an instance.
func (s *permitSim) request(i *simInstance, c int) {
	s.state[c].asked++
	s.try(i, c, !s.retries)
}

// try sends a request for the first or the last time.
func (s *permitSim) try(i *simInstance, c int, last bool) {
	if i.process == 0 || len(i.customers) == 0 {
		if last {
			s.state[c].down++
		}
		s.refuse(c, last)
		return
	}
	h := i.holders[c]
	h.Update(&i.customers[c], Basis{Self: i.peer.Name, Region: i.peer.Region, Bound: s.bound, Peers: i.peers, PeersSeen: i.seen, Instances: len(i.peers)})
	h.Record(s.now)
	s.decide(&simRequest{i: i, process: i.process, c: c, deadline: s.now.Add(simWait), last: last})
}

// refuse lets the caller of a refused request send it once more, unless it is the last time.
func (s *permitSim) refuse(c int, last bool) {
	if last {
		s.state[c].refused++
		return
	}
	s.after(200*time.Millisecond+s.upTo(300*time.Millisecond), func() { s.try(s.weighted(), c, true) })
}

// decide makes the next step of a request, as peers.Node.Admit does.
func (s *permitSim) decide(r *simRequest) {
	i := r.i
	if i.process != r.process {
		return
	}
	h := i.holders[r.c]
	if _, ok := h.Take(s.now); ok {
		s.arrive(r.c)
		return
	}
	a, ok := Attempt{}, false
	if s.now.Before(r.deadline) {
		a, ok = h.Next(s.now, r.asked)
	}
	if !ok {
		if allowed, _ := h.Fallback(s.now, r.refused, s.random.Float64()); allowed {
			s.arrive(r.c)
		} else {
			s.refuse(r.c, r.last)
		}
		return
	}
	r.asked = append(r.asked, a.Owner.Name)
	a.Timeout = min(a.Timeout, r.deadline.Sub(s.now))
	ask := Ask{From: i.peer.Name, Customer: s.customers[r.c].Name, Count: a.Count}
	done, apart := false, s.apart(i)
	s.send(i, a.Owner.Name, func(owner *simInstance) {
		if apart {
			owner.issuer.Hear(s.now, i.peer.Name)
		}
		granted := owner.issuer.Grant(s.now, s.away(owner), ask)
		apart := s.apart(owner)
		s.send(owner, i.peer.Name, func(*simInstance) {
			if apart {
				i.issuer.Hear(s.now, owner.peer.Name)
			}
			if done || i.process != r.process {
				return
			}
			done = true
			if _, ok := h.Answered(s.now, a, granted); ok {
				s.arrive(r.c)
				return
			}
			if granted.Count == 0 && !granted.NotOwner {
				r.refused = append(r.refused, a.Owner.Name)
			}
			s.decide(r)
		})
	})
	s.after(a.Timeout, func() {
		if !done {
			done = true
			h.Silent(s.now, a)
			s.decide(r)
		}
	})
}

// arrive lets an admitted request reach a backend server, as late as it may in some cases.
func (s *permitSim) arrive(c int) {
	delay := s.upTo(40 * time.Millisecond)
	if s.random.IntN(4) == 0 {
		delay = s.upTo(MaxTransit)
	}
	s.after(delay, func() {
		m := s.state[c]
		m.arrived = append(m.arrived, s.now)
		for s.now.Sub(m.arrived[0]) > s.bound.Window {
			m.arrived = m.arrived[1:]
		}
		allowed := s.allowed(c)
		m.peak = max(m.peak, float64(len(m.arrived))/allowed)
		if m.peak > 1 {
			s.broken = fmt.Sprintf("customer %d: %d requests in %s, allowed are %.1f, at %s", c, len(m.arrived), s.bound.Window, allowed, s.now.Sub(state.Instant(time.Hour)))
		}
	})
}

// allowed returns the highest bound that was in force within the last window. A lower one binds one window after all instances have it.
func (s *permitSim) allowed(c int) float64 {
	out := 0.0
	quotas := s.state[c].quotas
	for n, q := range quotas {
		next := n + 1
		if next == len(quotas) || quotas[next].known == 0 || s.now.Sub(quotas[next].known) < s.bound.span() {
			out = max(out, s.bound.Requests(q.Quota))
		}
	}
	return out
}

// load lets callers send requests until the given time.
func (s *permitSim) load(c int, until state.Instant) {
	m := s.state[c]
	if !s.now.Before(until) {
		return
	}
	if m.demand > 0 {
		s.after(time.Duration(s.random.ExpFloat64()/m.demand*float64(time.Second)), func() {
			s.request(s.weighted(), c)
			s.load(c, until)
		})
	}
}

// weighted returns a running instance, the busier ones more often.
func (s *permitSim) weighted() *simInstance {
	if s.pick != nil {
		return s.pick()
	}
	total := 0.0
	for _, i := range s.instances {
		if i.process != 0 {
			total += i.weight
		}
	}
	at := s.random.Float64() * total
	for _, i := range s.instances {
		if i.process == 0 {
			continue
		}
		if at -= i.weight; at <= 0 {
			return i
		}
	}
	return s.instances[0]
}

// run runs the events of the given time and returns how the bound was exceeded, or "".
func (s *permitSim) run(length time.Duration) string {
	end := s.now.Add(length)
	for len(s.events) > 0 && s.events[0].at.Before(end) && s.broken == "" {
		e := heap.Pop(&s.events).(permitEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
	return s.broken
}

// kill ends the process of an instance.
func (s *permitSim) kill(i *simInstance) { i.process = 0 }

// restartPlanned ends an instance, whose entry is removed when the store answers, and starts it again.
func (s *permitSim) restartPlanned(i *simInstance) {
	if s.inContact(i) {
		delete(s.leases, i.peer.Name)
	}
	s.kill(i)
	s.after(300*time.Millisecond, func() { s.restart(i) })
}
