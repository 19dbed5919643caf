package peers

import (
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/quarantine"
)

// Guards against a queue that grows without a bound, that sends outdated evidence, and that lets single ends of servers delay the
// news of a quarantine.
func TestEvidenceQueueSendsTheMostImportantFirst(t *testing.T) {
	g := NewWithT(t)
	q := newEvidenceQueue()
	for f := range quarantine.Fingerprint(maxQueuedEvidence) {
		g.Expect(q.put(quarantine.Record{Fingerprint: f, Ends: make([]quarantine.End, 1)})).To(BeTrue())
	}
	g.Expect(q.put(quarantine.Record{Fingerprint: 1 << 20})).To(BeFalse())
	g.Expect(q.put(quarantine.Record{Fingerprint: 7, Ends: make([]quarantine.End, 2)})).To(BeTrue())
	g.Expect(q.put(quarantine.Record{Fingerprint: 9, Level: 1})).To(BeTrue())
	for _, want := range []quarantine.Fingerprint{9, 7} {
		r, ok := q.take()
		g.Expect(ok).To(BeTrue())
		g.Expect(r.Fingerprint).To(Equal(want))
	}
	for range maxQueuedEvidence - 2 {
		_, ok := q.take()
		g.Expect(ok).To(BeTrue())
	}
	_, ok := q.take()
	g.Expect(ok).To(BeFalse())
}
