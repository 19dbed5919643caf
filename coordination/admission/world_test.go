package admission

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// world simulates holders and homes on a network that loses, repeats and reorders messages. Every process has its own
// clock, which may run up to 10% faster than another one, and may be paused.
type world struct {
	t        *rapid.T
	config   *state.Config
	now      time.Duration // true time
	members  []*member
	homes    []*homeProcess // all homes started so far; the last one is current
	noHome   bool           // the current home has ended and the next has not begun
	inFlight []packet
	asks     []*testRequester
	nextInc  state.Incarnation
}

type packet struct {
	from         state.InstanceName
	inc          state.Incarnation
	out          Outbound
	delayedUntil time.Duration // the network delays it until then
}

// clock is a process's clock.
type clock struct {
	rate        float64
	paused      bool
	pausedUntil time.Duration // end of the pause
}

func (c *clock) pause(until time.Duration) { c.paused, c.pausedUntil = true, until }

func (c *clock) read(now time.Duration) state.Instant { return state.Instant(float64(now) * c.rate) }

type member struct {
	clock
	name         state.InstanceName
	inc          state.Incarnation
	region       state.RegionName
	holder       *Holder
	home         state.InstanceName // that it sends to
	epoch        message.Epoch
	droppedUntil time.Duration // its messages are lost until then
	replaced     bool          // a later incarnation receives the messages; this one may still run
}

type homeProcess struct {
	clock
	name     state.InstanceName
	home     *Home
	leaseEnd time.Duration // true time at which its lease has ended at the latest
}

// testRequester records the result of an Ask.
type testRequester struct {
	m        *member
	answers  int
	answer   Answer
	fenced   bool
	released bool
}

// Answer implements Requester.
func (a *testRequester) Answer(x Answer) bool {
	a.answers++
	a.answer = x
	return true
}

// Fence implements Requester.
func (a *testRequester) Fence() { a.fenced = true }

func newWorld(t *rapid.T) *world {
	w := &world{t: t, nextInc: 1, now: 10 * time.Second}
	w.config = testConfig(func(c *state.Config) {
		// Low limits, so that what one holder releases is granted to another at once.
		c.Regions[0].MaxRunning = 3
		for i := range c.Backends {
			c.Backends[i].Slots = 1
		}
		c.Plans[0].Services[0].BurstPercent = 50
		c.Links = []state.Link{{From: "east", To: "south", BytesPerSecond: 150}}
		c.Shifts = []state.Shift{{Name: "s", From: "west", To: "east", MaxRunning: 1}}
		c.Drains = []state.Drain{{Kind: state.DrainRegion, Name: "west"}}
	})
	for i, r := range []state.RegionName{"east", "east", "south", "west"} {
		w.start(state.InstanceName(fmt.Sprintf("i%d", i)), r)
	}
	w.elect(1)
	for _, m := range w.members {
		w.learnHome(m)
	}
	return w
}

func (w *world) rate() float64 {
	return []float64{0.9535, 1, 1.0485}[rapid.IntRange(0, 2).Draw(w.t, "clock")]
}

func (w *world) start(name state.InstanceName, region state.RegionName) *member {
	m := &member{clock: clock{rate: w.rate()}, name: name, inc: w.nextInc, region: region}
	w.nextInc++
	m.holder = NewHolder(state.Instance{Name: name, Incarnation: m.inc, Region: region}, func(r state.RegionName) (state.InstanceName, message.Epoch) {
		if r != "east" {
			return "", 0
		}
		return m.home, m.epoch
	})
	m.holder.ReportTo([]state.RegionName{"east"})
	w.members = append(w.members, m)
	return m
}

// elect starts the next home. Only one home has a lease at any time.
func (w *world) elect(epoch message.Epoch) *homeProcess {
	p := &homeProcess{clock: clock{rate: w.rate()}, name: state.InstanceName(fmt.Sprintf("home%d", epoch)), home: NewHome("east", epoch)}
	p.home.ApplyConfig(w.config, state.NewIndex(w.config))
	w.homes, w.noHome = append(w.homes, p), false
	w.extend(p)
	return p
}

func (w *world) current() *homeProcess { return w.homes[len(w.homes)-1] }

func (w *world) extend(p *homeProcess) {
	p.home.SetLease(p.read(w.now).Add(400 * time.Millisecond))
	p.leaseEnd = w.now + 500*time.Millisecond
}

// advance advances the true time and ends pauses.
func (w *world) advance(d time.Duration) {
	w.now += d
	for _, m := range w.members {
		m.paused = m.paused && w.now < m.pausedUntil
	}
	for _, p := range w.homes {
		p.paused = p.paused && w.now < p.pausedUntil
	}
}

// learnHome sets the home that a member knows to the current one.
func (w *world) learnHome(m *member) {
	if !w.noHome {
		m.home, m.epoch = w.current().name, w.current().home.epoch
	}
}

// collect moves the outbound messages of all processes to the network.
func (w *world) collect() {
	for _, m := range w.members {
		for _, o := range m.holder.TakeOutbound() {
			if w.now < m.droppedUntil {
				continue
			}
			w.inFlight = append(w.inFlight, packet{m.name, m.inc, o, 0})
		}
	}
	for _, p := range w.homes {
		for _, o := range p.home.TakeOutbound() {
			w.inFlight = append(w.inFlight, packet{p.name, 0, o, 0})
		}
	}
}

// deliver delivers a message, unless it is delayed or its receiver is paused. It reports whether it did. With repeat,
// the message stays on the network and can be delivered again.
func (w *world) deliver(i int, repeat bool) bool {
	p := w.inFlight[i]
	if w.now < p.delayedUntil || !w.receive(p) {
		return false
	}
	if !repeat {
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	}
	w.collect()
	return true
}

func (w *world) receive(p packet) bool {
	for _, h := range w.homes {
		if h.name != p.out.To {
			continue
		}
		if h.paused {
			return false
		}
		now := h.read(w.now)
		switch m := p.out.Body.(type) {
		case *message.GrantRequest:
			h.home.Request(now, p.from, p.inc, m)
		case *message.GrantRelease:
			h.home.Release(now, p.from, p.inc, m)
		case *message.HeldGrants:
			h.home.HandleReport(now, p.from, p.inc, m)
		case *message.GrantHandover:
			h.home.ImportHandover(now, m)
		}
		return true
	}
	for _, m := range w.members {
		if m.name != p.out.To || m.replaced {
			continue
		}
		if m.paused {
			return false
		}
		now := m.read(w.now)
		switch b := p.out.Body.(type) {
		case *message.GrantReply:
			m.holder.Reply(now, p.from, b)
		case *message.HeldGrantsReply:
			m.holder.Confirm(now, p.from, b)
		}
		return true
	}
	return true
}

func (w *world) tick() {
	for _, m := range w.members {
		if !m.paused {
			m.holder.Tick(m.read(w.now))
		}
	}
	for i, p := range w.homes {
		if p.paused {
			continue
		}
		if i == len(w.homes)-1 && !w.noHome {
			w.extend(p)
		}
		p.home.Tick(p.read(w.now))
		w.reportEnded(p)
	}
	w.collect()
}

// reportEnded calls ProcessEnded for the suspects of a home whose processes have ended.
func (w *world) reportEnded(p *homeProcess) {
	for _, s := range p.home.TakeSuspects() {
		runs := slices.ContainsFunc(w.members, func(m *member) bool { return m.name == s.Name && m.inc == s.Incarnation })
		if !runs {
			p.home.ProcessEnded(p.read(w.now), s)
		}
	}
}

// check compares what all holders may use with the limits. It counts the whole lease, although holders fence FenceLead
// earlier.
func (w *world) check() {
	servers := make(map[state.BackendName]int)
	customers := make(map[string]int)
	region, shift, rate := 0, 0, int64(0)
	for _, m := range w.members {
		for _, g := range m.holder.holdings("east").grants {
			if m.read(w.now).Sub(g.leaseStart) >= GrantLease {
				continue
			}
			region++
			servers[g.grant.Backend]++
			customers[string(g.grant.Service)+"/"+string(g.grant.Customer)]++
			if m.region == "south" {
				rate += g.grant.Rate
			}
			if m.region == "west" {
				shift++
			}
		}
	}
	w.checkMax("region", region, 3)
	w.checkMax("link", int(rate), 150)
	w.checkMax("shift", shift, 1)
	for name, n := range servers {
		w.checkMax(string(name), n, 1)
	}
	for name, n := range customers {
		if name[:6] == "search" {
			w.checkMax(name, n, 1)
		}
	}
	for _, a := range w.asks {
		w.checkMax("answers to one Ask", a.answers, 1)
	}
}

func (w *world) checkMax(what string, n, limit int) {
	if n > limit {
		w.t.Fatalf("%s: %d in use, limit %d", what, n, limit)
	}
}
