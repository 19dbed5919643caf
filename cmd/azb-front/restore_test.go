package main

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// lostChanges is a number of changes that the store loses, more than are made after it.
const lostChanges = 40

// loseChanges writes changes that the store loses when it returns from a copy, and waits until the instance knows them.
func (f *fixture) loseChanges() {
	f.t.Helper()
	for range lostChanges / 2 {
		f.store.Evacuate("nowhere")
		f.store.EndEvacuation("nowhere")
	}
	f.putTable(2, longTimeout)
	f.awaitTable(2)
}

// Guards against changes that are ignored because the store has returned from a copy and gives out again the revisions that the
// instance has seen.
func TestChangesAfterTheStoreReturnedFromACopyAreInForce(t *testing.T) {
	f := newFixture(t, 2)
	before := f.store.Copy()
	f.loseChanges()
	f.store.Restore(before)
	f.store.RemoveServer("i-1")
	f.putTable(3, longTimeout)
	f.awaitTable(3)
	f.Eventually(f.usable, waitTimeout).Should(Equal([]string{"i-0"}))
	f.Expect(f.read().status).To(Equal(http.StatusOK))
}

// Guards against an instance that is missing from look-ups because it renews a lease that the store has lost, and whose number
// belongs to another instance now.
func TestInstanceWhoseLeaseIsLostRegistersAgain(t *testing.T) {
	f := newFixture(t, 1)
	before := f.store.Copy()
	f.loseChanges()
	f.start("front-2")
	f.Eventually(func() bool { return f.store.Registered("front-2") }, waitTimeout).Should(BeTrue())
	f.store.Restore(before)
	f.Expect(f.store.Registered("front-2")).To(BeFalse())
	f.Eventually(func() bool { return f.store.Registered("front-2") }, waitTimeout).Should(BeTrue())
}
