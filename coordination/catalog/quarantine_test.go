package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/quarantine"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Guards against evidence from a server that has left as planned or goes on, and against a missed one when its process is refused
// by its host, removed from the store or replaced by a new one.
func TestEndsOfProcessesAreEvidence(t *testing.T) {
	g := NewWithT(t)
	var announced []quarantine.Record
	c := NewCore(Options{Self: "front-1", OnEvidence: func(_ state.Instant, r quarantine.Record) { announced = append(announced, r) }})
	now, number := state.Instant(time.Hour), uint64(1)
	server := func(name string, born int64, draining bool) Item {
		return Item{Key: name, Fact: &routing.Backend{
			Name: state.BackendName(name), Service: "svc", Address: "10.0.0." + name + ":80", Domain: state.DomainName("d-" + name), Born: born, Draining: draining,
		}}
	}
	change := func(items ...Item) {
		after := Revision{Number: number}
		number++
		c.Step(now, Changed{After: after, Revision: Revision{Number: number}, Items: items})
	}
	c.Step(now, Listed{Revision: Revision{Number: number}, Items: []Item{
		server("1", 1, false), server("2", 1, false), server("3", 1, false), server("4", 1, false), server("5", 1, false),
		server("6", 1, false), server("7", 1, false),
	}})
	for _, name := range []state.BackendName{"1", "2", "3", "4", "5"} {
		c.Step(now, ExchangeBroke{Process: quarantine.Process{Server: name, Born: 1}, Domain: "d-" + state.DomainName(name), Fingerprint: 7, Route: "read"})
	}
	servers := func() int {
		c.View()
		for _, r := range c.ledger.Snapshot().Quarantined() {
			return len(r.Ends)
		}
		return 0
	}
	change(server("4", 1, true)) // leaves as planned
	change(Item{Key: "4"})
	c.Step(now, Observed{Server: "5", Outcome: Unreachable}) // without proof that its process has ended
	c.Step(now, ProcessGone{Process: quarantine.Process{Server: "1", Born: 1}})
	change(Item{Key: "2"})
	g.Expect(servers()).To(BeZero())
	change(server("3", 2, false))
	g.Expect(servers()).To(Equal(3))
	g.Expect(c.View()).To(BeNil(), "the view has it")
	g.Expect(c.lastView.Quarantine.Quarantined()).To(HaveLen(1))
	g.Expect(announced).NotTo(BeEmpty())
	g.Expect(announced[len(announced)-1].Level).To(Equal(1))
	c.Step(now, ExchangeBroke{Process: quarantine.Process{Server: "3", Born: 1}, Fingerprint: 8, Route: "read"})
	g.Expect(c.ledger.Snapshot().Suspect(8)).To(BeTrue(), "its process was replaced before the break became known")
	due, ok := c.NextTick()
	g.Expect(ok).To(BeTrue())
	g.Expect(due.Before(now.Add(time.Minute))).To(BeTrue(), "the first end of a request is announced later")
}
