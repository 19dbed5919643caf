package claims_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurebridge/coordination/claims"
	"azurebridge/coordination/message"
	"azurebridge/internal/proptest"
)

// modelKeys are the first bytes of the keys: two of one shard and one of another.
var modelKeys = []byte{0, 16, 1}

func TestMain(m *testing.M) { proptest.Main(m, 600, 30) }

// Guards against two attempts of one key being sent, a grant without a record, and "unavailable" for a claim that is in
// the log, under lost, repeated and reordered messages, lost store replies, outages, pauses, restarts and several writers.
func TestClaimsUnderFaults(t *testing.T) {
	granted, replayed, released := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		for range rapid.IntRange(50, 400).Draw(rt, "steps") {
			m.step()
		}
		m.heal()
		m.checkEnd()
		for _, a := range m.attempts {
			switch {
			case a.status == message.ClaimGranted && m.ended[a.req.Attempt].Kind == message.OutcomeNotRun:
				released++
			case a.status == message.ClaimGranted:
				granted++
			case a.status == message.ClaimRan:
				replayed++
			}
		}
	})
	if granted == 0 || replayed == 0 || released == 0 {
		t.Fatalf("the schedules do not cover all results: %d granted, %d replayed, %d released", granted, replayed, released)
	}
	t.Logf("%d granted, %d replayed, %d released", granted, replayed, released)
}

// step performs one random action.
func (m *model) step() {
	p := m.processes[rapid.IntRange(0, modelProcesses-1).Draw(m.t, "process")]
	switch rapid.IntRange(0, 23).Draw(m.t, "move") {
	case 0, 1, 2:
		m.start(p, rapid.SampledFrom(modelKeys).Draw(m.t, "key"), rapid.Uint64Range(1, 5).Draw(m.t, "fingerprint")/5)
	case 3, 4, 5, 6, 7:
		m.movePacket(rapid.IntRange(0, 9).Draw(m.t, "packet"))
	case 8, 9, 10, 11, 12:
		m.moveOp(rapid.IntRange(0, 9).Draw(m.t, "operation"))
	case 13, 14:
		m.tick(p)
	case 15, 16:
		pauses := []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second, time.Minute}
		if rapid.IntRange(0, 7).Draw(m.t, "long") == 0 {
			pauses = []time.Duration{7 * time.Minute, 35 * time.Minute, 58 * time.Minute, 70 * time.Minute}
		}
		m.now = m.now.Add(rapid.SampledFrom(pauses).Draw(m.t, "pause"))
	case 17:
		for s := range m.writers {
			m.writers[s] = p.name
		}
	case 18:
		for _, a := range m.attempts {
			if a.status == message.ClaimGranted && !a.done {
				m.finish(a, rapid.SampledFrom([]message.OutcomeKind{1, 1, 2, 2, 2, 3}).Draw(m.t, "outcome"))
			}
		}
	case 19, 20, 21, 22:
		m.run(rapid.IntRange(1, 4).Draw(m.t, "turns"))
	case 23:
		if rapid.IntRange(0, 3).Draw(m.t, "restart") == 0 {
			m.restart(p)
		}
	}
}

func (m *model) movePacket(action int) {
	if len(m.packets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.packets)-1).Draw(m.t, "index")
	x := m.packets[i]
	if action != 0 { // otherwise the message is repeated later
		m.packets = append(m.packets[:i:i], m.packets[i+1:]...)
	}
	if action != 1 { // otherwise it is lost
		m.deliver(x)
	}
}

func (m *model) moveOp(action int) {
	if len(m.ops) == 0 {
		return
	}
	o := m.ops[rapid.IntRange(0, len(m.ops)-1).Draw(m.t, "index")]
	late := m.now.Sub(o.at) > modelOpDelay
	switch {
	case o.applied:
		m.finishOp(o, 0)
	case late || action == 0:
		m.finishOp(o, claims.OpUnknown) // lost before it took effect
	case action == 1:
		m.finishOp(o, claims.OpNotDone)
	case action == 2:
		m.apply(o)
		m.finishOp(o, claims.OpUnknown) // the reply was lost
	case action == 3: // the writer's call ended, and the operation takes effect later
		again := *o
		again.writer = nil
		m.ops = append(m.ops, &again)
		m.finishOp(o, claims.OpUnknown)
	default:
		m.apply(o)
		if action > 6 {
			m.finishOp(o, 0)
		}
	}
}

// heal completes everything that is under way without further faults.
func (m *model) heal() { m.run(400) }

// run delivers messages and completes store operations without faults, in rounds of 100 ms.
func (m *model) run(rounds int) {
	for range rounds {
		for len(m.ops) > 0 {
			o := m.ops[0]
			if !o.applied && m.now.Sub(o.at) > modelOpDelay {
				m.finishOp(o, claims.OpUnknown)
				continue
			}
			if !o.applied {
				m.apply(o)
			}
			m.finishOp(o, 0)
		}
		for _, x := range m.packets {
			m.packets = m.packets[1:]
			m.deliver(x)
		}
		m.now = m.now.Add(100 * time.Millisecond)
		for _, p := range m.processes {
			m.tick(p)
		}
	}
}

// checkEnd checks what must hold once nothing is under way.
func (m *model) checkEnd() {
	ran := make(map[message.ClaimKey]*attempt)
	for _, a := range m.attempts {
		if a.status == message.ClaimUnavailable && m.claimed[a.req.Attempt] {
			m.t.Fatalf("attempt %s is in the log although its client got ClaimUnavailable", a.req.Attempt)
		}
		if m.ended[a.req.Attempt].Kind == message.OutcomeRan && m.now.Sub(a.granted) < claims.ClaimRetention {
			ran[a.req.Key] = a
		}
	}
	for _, key := range modelKeys {
		a := ran[message.ClaimKey{key}]
		if a == nil {
			continue
		}
		again := m.start(m.processes[0], a.req.Key[0], a.req.Fingerprint)
		m.heal()
		if again.status != message.ClaimRan {
			m.t.Fatalf("a repeat of a key that ran got status %d", again.status)
		}
	}
}
