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

// actions are the moves of the random scheduler.
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
		"ask":      func(t *rapid.T) { w.ask(t, pick(t, len(w.members))) },
		"ask many": func(t *rapid.T) { w.askMany(t) },
		"end":      func(t *rapid.T) { w.end(t, pick(t, len(w.asks)+1)) },
		"deliver":  func(t *rapid.T) { w.deliverSome(t, rapid.IntRange(1, 8).Draw(t, "n"), true) },
		"run":      func(t *rapid.T) { w.run(t, 5) },
		"run on":   func(t *rapid.T) { w.run(t, 12) },
		"repeat": func(t *rapid.T) {
			if len(w.flight) > 0 {
				w.deliver(pick(t, len(w.flight)), true)
			}
		},
		"delay": func(t *rapid.T) {
			if len(w.flight) > 0 {
				p := &w.flight[pick(t, len(w.flight))]
				p.held = w.now + time.Duration(rapid.IntRange(100, 1500).Draw(t, "ms"))*time.Millisecond
			}
		},
		"silence": rarely(func(t *rapid.T) { w.silence(t, w.members[pick(t, len(w.members))]) }),
		"lose": func(t *rapid.T) {
			if len(w.flight) > 0 {
				i := pick(t, len(w.flight))
				w.flight = append(w.flight[:i], w.flight[i+1:]...)
			}
		},
		"tick": func(t *rapid.T) { w.tick() },
		"time": func(t *rapid.T) {
			w.pass(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
			w.tick()
		},
		"clock step": rarely(func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(120, 1500).Draw(t, "ms")) * time.Millisecond) }),
		"pause": rarely(func(t *rapid.T) {
			w.members[pick(t, len(w.members))].pause(w.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond)
		}),
		"pause home": rarely(func(t *rapid.T) {
			w.current().pause(w.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond)
		}),
		"learn":     func(t *rapid.T) { w.learn(w.members[pick(t, len(w.members))]) },
		"home dies": rarely(func(t *rapid.T) { w.gap = true }),
		"next home": func(t *rapid.T) { w.nextHome(t) },
		"takeover":  func(t *rapid.T) { w.takeover(t) },
		"cut off":   func(t *rapid.T) { w.cutOff(t) },
		"resign":    rarely(func(t *rapid.T) { w.resign(t) }),
		"expect":    func(t *rapid.T) { w.expect() },
		"restart":   rarely(func(t *rapid.T) { w.restart(pick(t, len(w.members))) }),
		"":          func(t *rapid.T) { w.check() },
	}
}

func (w *world) askMany(t *rapid.T) {
	for i := range w.members {
		w.ask(t, i)
	}
}

// silence loses all messages of a member for a while.
func (w *world) silence(t *rapid.T, m *member) {
	m.silent = w.now + time.Duration(rapid.IntRange(100, 2000).Draw(t, "ms"))*time.Millisecond
}

// run lets time pass as on a good network.
func (w *world) run(t *rapid.T, turns int) {
	for range turns {
		w.pass(20 * time.Millisecond)
		w.tick()
		w.deliverSome(t, len(w.flight), false)
		w.deliverSome(t, len(w.flight), false)
		w.check()
	}
}

func (w *world) ask(t *rapid.T, i int) {
	m := w.members[i]
	if m.paused || m.replaced {
		return
	}
	a := &asked{m: m}
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
		if a.answer.Backend == "" || a.done || a.m.paused {
			continue
		}
		a.done = true
		r := message.Result(rapid.IntRange(1, 5).Draw(t, "result"))
		a.m.holder.Release("east", message.Release{ID: a.answer.ID, Backend: a.answer.Backend, Result: r, Latency: time.Millisecond})
		a.m.holder.Flush()
		w.collect()
		return
	}
}

func (w *world) deliverSome(t *rapid.T, n int, random bool) {
	at := 0
	for ; n > 0 && at < len(w.flight); n-- {
		i := at
		if random {
			i = rapid.IntRange(0, len(w.flight)-1).Draw(t, "message")
		}
		if !w.deliver(i, false) && !random {
			at++
		}
	}
}

// nextHome starts another home once the lease of the last one has ended for certain.
func (w *world) nextHome(t *rapid.T) {
	if !w.gap || w.now < w.current().lease {
		return
	}
	w.elect(w.current().home.epoch + 1)
	if rapid.Bool().Draw(t, "expect") {
		w.expect()
	}
}

// takeover lets the home die and the next one take over on a good network, but for the messages that are delayed.
func (w *world) takeover(t *rapid.T) {
	w.askWithDelay(t, 700*time.Millisecond)
	w.gap = true
	w.run(t, 26)
	w.nextHome(t)
	for _, m := range w.members {
		w.learn(m)
	}
	w.expect()
	w.run(t, 2)
	w.askMany(t)
	w.run(t, 10)
}

// askWithDelay asks for all members and delays some of the replies.
func (w *world) askWithDelay(t *rapid.T, d time.Duration) {
	w.askMany(t)
	w.deliverSome(t, len(w.flight), false)
	for i := range w.flight {
		if rapid.IntRange(0, 2).Draw(t, "delayed") == 0 {
			w.flight[i].held = w.now + d
		}
	}
}

// cutOff loses all messages of one member from some time after its grants on, while others ask for what it holds.
func (w *world) cutOff(t *rapid.T) {
	m := w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")]
	w.askWithDelay(t, time.Duration(rapid.IntRange(0, 6).Draw(t, "delay"))*100*time.Millisecond)
	w.run(t, rapid.IntRange(0, 30).Draw(t, "turns"))
	w.silence(t, m)
	for range 6 {
		w.run(t, 10)
		w.askMany(t)
	}
}

// expect names all incarnations that may hold grants.
func (w *world) expect() {
	var list []state.Instance
	for _, m := range w.members {
		list = append(list, state.Instance{Name: m.name, Incarnation: m.inc})
	}
	p := w.current()
	if !p.paused {
		p.home.Expect(p.read(w.now), list)
		w.collect()
	}
}

func (w *world) resign(t *rapid.T) {
	old := w.current()
	if old.paused || w.gap || w.now >= old.lease {
		return
	}
	parts := old.home.Resign(old.read(w.now))
	w.collect()
	p := w.elect(old.home.epoch + 1)
	for _, m := range parts {
		w.flight = append(w.flight, packet{old.name, 0, Outbound{p.name, m}, 0})
	}
}

// restart replaces a member by a later incarnation. The earlier process goes on for as long as its leases allow.
func (w *world) restart(i int) {
	old := w.members[i]
	if old.replaced || len(w.members) > 10 {
		return
	}
	old.replaced = true
	w.learn(w.start(old.name, old.region))
}

// settle lets everything end: no pauses, no losses, no new asks.
func (w *world) settle() {
	if w.gap {
		w.pass(time.Second)
		w.elect(w.current().home.epoch + 1)
	}
	w.pass(2 * time.Second) // longer than any pause
	for turn := range 300 {
		if turn == 150 { // replaced processes have ended
			w.members = slices.DeleteFunc(w.members, func(m *member) bool { return m.replaced })
		}
		w.pass(20 * time.Millisecond)
		w.tick()
		for _, m := range w.members {
			w.learn(m)
		}
		w.deliverSome(nil, len(w.flight), false)
		for _, a := range w.asks {
			if a.answer.Backend != "" && !a.done {
				a.done = true
				a.m.holder.Release("east", message.Release{ID: a.answer.ID, Backend: a.answer.Backend, Result: message.ResultOK})
			}
		}
		w.check()
	}
}

func TestMain(m *testing.M) { proptest.Main(m, 400, 100) }

// Guards against two uses of one slot or of one part of a limit, and against asks that get no answer or two, whatever
// the network, the clocks and the changes of home do.
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
			t.Fatalf("%d grants and %d waiting requests are left", h.running, len(h.deadlines))
		}
		for _, p := range h.pools {
			if p.running != 0 || p.queued != 0 {
				t.Fatalf("service %s: %d running, %d queued", p.name, p.running, p.queued)
			}
		}
	})
	t.Logf("%d grants", granted)
	if granted < 2000 {
		t.Fatalf("only %d grants: the schedule tests too little", granted)
	}
}
