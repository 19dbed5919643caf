package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurebridge/coordination/message"
	"azurebridge/internal/proptest"
	"azurebridge/state"
)

// actions returns the actions that rapid runs in random order.
func (w *world) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "i") }
	rarely := func(f func(*rapid.T)) func(*rapid.T) {
		return func(t *rapid.T) {
			if pick(t, 4) == 0 {
				f(t)
			}
		}
	}
	return map[string]func(*rapid.T){
		"ask":        func(t *rapid.T) { w.ask(t, pick(t, len(w.members))) },
		"ask many":   func(t *rapid.T) { w.askMany(t) },
		"end":        func(t *rapid.T) { w.end(t, pick(t, len(w.asks)+1)) },
		"deliver":    func(t *rapid.T) { w.deliverSome(t, rapid.IntRange(1, 8).Draw(t, "n"), true) },
		"run":        func(t *rapid.T) { w.run(t, 5) },
		"run longer": func(t *rapid.T) { w.run(t, 12) },
		"repeat": func(t *rapid.T) {
			if len(w.inFlight) > 0 {
				w.deliver(pick(t, len(w.inFlight)), true)
			}
		},
		"delay": func(t *rapid.T) {
			if len(w.inFlight) > 0 {
				p := &w.inFlight[pick(t, len(w.inFlight))]
				p.delayedUntil = w.now + time.Duration(rapid.IntRange(100, 1500).Draw(t, "ms"))*time.Millisecond
			}
		},
		"stop messages": rarely(func(t *rapid.T) { w.dropMessages(t, w.members[pick(t, len(w.members))]) }),
		"lose": func(t *rapid.T) {
			if len(w.inFlight) > 0 {
				i := pick(t, len(w.inFlight))
				w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
			}
		},
		"tick": func(t *rapid.T) { w.tick() },
		"time passes": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
			w.tick()
		},
		"clock step": rarely(func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(120, 1500).Draw(t, "ms")) * time.Millisecond) }),
		"pause": rarely(func(t *rapid.T) {
			w.members[pick(t, len(w.members))].pause(w.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond)
		}),
		"pause home": rarely(func(t *rapid.T) {
			w.current().pause(w.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond)
		}),
		"learn home":     func(t *rapid.T) { w.learnHome(w.members[pick(t, len(w.members))]) },
		"home stops":     rarely(func(t *rapid.T) { w.noHome = true }),
		"next home":      func(t *rapid.T) { w.nextHome(t) },
		"takeover":       func(t *rapid.T) { w.takeover(t) },
		"cut off member": func(t *rapid.T) { w.isolate(t) },
		"resign":         rarely(func(t *rapid.T) { w.resign(t) }),
		"expect":         func(t *rapid.T) { w.expect() },
		"restart":        rarely(func(t *rapid.T) { w.restart(pick(t, len(w.members))) }),
		"":               func(t *rapid.T) { w.check() },
	}
}

func (w *world) askMany(t *rapid.T) {
	for i := range w.members {
		w.ask(t, i)
	}
}

// dropMessages drops all messages of a member for a random time.
func (w *world) dropMessages(t *rapid.T, m *member) {
	m.droppedUntil = w.now + time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms"))*time.Millisecond
}

// run lets time pass, and delivers the messages that are not delayed in order.
func (w *world) run(t *rapid.T, turns int) {
	for range turns {
		w.advance(20 * time.Millisecond)
		w.tick()
		w.deliverSome(t, len(w.inFlight), false)
		w.deliverSome(t, len(w.inFlight), false)
		w.check()
	}
}

func (w *world) ask(t *rapid.T, i int) {
	m := w.members[i]
	if m.paused || m.replaced {
		return
	}
	a := &testRequester{m: m}
	w.asks = append(w.asks, a)
	ask := &Ask{
		Service:  []state.ServiceName{"search", "search", "tapes"}[rapid.IntRange(0, 2).Draw(t, "service")],
		Customer: []state.CustomerName{"big", "big", "small"}[rapid.IntRange(0, 2).Draw(t, "customer")],
		Wait:     time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * 500 * time.Millisecond,
		Regions:  []Target{{Region: "east"}},
	}
	if m.region == "south" {
		ask.Regions[0].Rate = 100
	}
	if m.region == "west" && rapid.Bool().Draw(t, "shift") {
		ask.Regions[0].Shift = "s"
	}
	m.holder.Ask(m.read(w.now), ask, a)
	w.collect()
}

func (w *world) end(t *rapid.T, i int) {
	for ; i < len(w.asks); i++ {
		a := w.asks[i]
		if a.answer.Backend == "" || a.released || a.m.paused {
			continue
		}
		a.released = true
		r := message.Result(rapid.IntRange(1, 5).Draw(t, "result"))
		a.m.holder.Release("east", message.Release{ID: a.answer.ID, Backend: a.answer.Backend, Result: r, Latency: time.Millisecond})
		a.m.holder.Flush()
		w.collect()
		return
	}
}

func (w *world) deliverSome(t *rapid.T, n int, random bool) {
	at := 0
	for ; n > 0 && at < len(w.inFlight); n-- {
		i := at
		if random {
			i = rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
		}
		if !w.deliver(i, false) && !random {
			at++
		}
	}
}

// nextHome starts the next home once the lease of the last one has ended on every clock.
func (w *world) nextHome(t *rapid.T) {
	if !w.noHome || w.now < w.current().leaseEnd {
		return
	}
	w.elect(w.current().home.epoch + 1)
	if rapid.Bool().Draw(t, "expect") {
		w.expect()
	}
}

// takeover stops the home and lets the next one take over, on a network without losses but with some delayed messages.
func (w *world) takeover(t *rapid.T) {
	w.askWithDelay(t, 700*time.Millisecond)
	w.noHome = true
	w.run(t, 26)
	w.nextHome(t)
	for _, m := range w.members {
		w.learnHome(m)
	}
	w.expect()
	w.run(t, 2)
	w.askMany(t)
	w.run(t, 10)
}

// askWithDelay sends an Ask of every member and delays some of the replies.
func (w *world) askWithDelay(t *rapid.T, d time.Duration) {
	w.askMany(t)
	w.deliverSome(t, len(w.inFlight), false)
	for i := range w.inFlight {
		if rapid.IntRange(0, 2).Draw(t, "delayed") == 0 {
			w.inFlight[i].delayedUntil = w.now + d
		}
	}
}

// isolate drops all messages of one member some time after it got grants, while others ask for what it holds.
func (w *world) isolate(t *rapid.T) {
	m := w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")]
	w.askWithDelay(t, time.Duration(rapid.IntRange(0, 6).Draw(t, "delay"))*100*time.Millisecond)
	w.run(t, rapid.IntRange(0, 30).Draw(t, "turns"))
	w.dropMessages(t, m)
	for range 6 {
		w.run(t, 10)
		w.askMany(t)
	}
}

// expect passes all incarnations that may hold grants to the home.
func (w *world) expect() {
	var list []state.Instance
	for _, m := range w.members {
		list = append(list, state.Instance{Name: m.name, Incarnation: m.inc})
	}
	p := w.current()
	if !p.paused {
		p.home.ExpectReports(p.read(w.now), list)
		w.collect()
	}
}

func (w *world) resign(t *rapid.T) {
	old := w.current()
	if old.paused || w.noHome || w.now >= old.leaseEnd {
		return
	}
	parts := old.home.Resign(old.read(w.now))
	w.collect()
	p := w.elect(old.home.epoch + 1)
	for _, m := range parts {
		w.inFlight = append(w.inFlight, packet{old.name, 0, Outbound{p.name, m}, 0})
	}
}

// restart replaces a member by a later incarnation. The earlier process continues for as long as its leases allow.
func (w *world) restart(i int) {
	old := w.members[i]
	if old.replaced || len(w.members) > 10 {
		return
	}
	old.replaced = true
	w.learnHome(w.start(old.name, old.region))
}

// settle ends all Asks and releases all grants, without pauses, losses and new Asks.
func (w *world) settle() {
	if w.noHome {
		w.advance(time.Second)
		w.elect(w.current().home.epoch + 1)
	}
	w.advance(2 * time.Second) // longer than any pause
	for turn := range 300 {
		if turn == 150 { // replaced processes have ended
			w.members = slices.DeleteFunc(w.members, func(m *member) bool { return m.replaced })
		}
		w.advance(20 * time.Millisecond)
		w.tick()
		for _, m := range w.members {
			w.learnHome(m)
		}
		w.deliverSome(nil, len(w.inFlight), false)
		for _, a := range w.asks {
			if a.answer.Backend != "" && !a.released {
				a.released = true
				a.m.holder.Release("east", message.Release{ID: a.answer.ID, Backend: a.answer.Backend, Result: message.ResultOK})
			}
		}
		w.check()
	}
}

func TestMain(m *testing.M) { proptest.Main(m, 400, 100) }

// Guards against use of a slot or limit beyond its capacity, and against Asks that get no answer or two, under random
// message loss, delay and repetition, clock drift, pauses and changes of home.
func TestNoOvershootAndNoLostRequest(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.settle()
		for i, a := range w.asks {
			if a.answers != 1 {
				t.Fatalf("ask %d got %d answers", i, a.answers)
			}
			if a.answer.Backend != "" {
				granted++
			}
		}
		h := w.current().home
		if h.running != 0 || len(h.deadlines) != 0 {
			t.Fatalf("%d grants and %d waiting requests are left at the end", h.running, len(h.deadlines))
		}
		for _, p := range h.pools {
			if p.running != 0 || p.queued != 0 {
				t.Fatalf("service %s: %d running, %d queued", p.name, p.running, p.queued)
			}
		}
	})
	t.Logf("%d grants", granted)
	if granted < 2000 {
		t.Fatalf("only %d grants, want at least 2000 for a meaningful test", granted)
	}
}
