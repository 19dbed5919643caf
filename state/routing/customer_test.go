package routing

import (
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

func newCustomers() []Customer {
	return []Customer{
		{Name: "quick", Keys: []KeyDigest{Digest("k1"), Digest("k2")}, Quota: Quota{Rate: 3, Burst: 2}},
		{Name: "bound", Keys: []KeyDigest{Digest("k3")}, Regions: []state.RegionName{"north"}, HasPriority: true, Priority: 2},
	}
}

// Guards against a key that is taken for another customer's, and against an unknown key that names one.
func TestCustomerIsFoundByItsKeys(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Customers = newCustomers()
	table.Index()
	for key, want := range map[string]state.CustomerName{"k1": "quick", "k2": "quick", "k3": "bound"} {
		g.Expect(table.CustomerOf(Digest(key)).Name).To(Equal(want))
	}
	g.Expect(table.CustomerOf(Digest("k4"))).To(BeNil())
	g.Expect(table.CustomerOf(Digest(""))).To(BeNil())
	g.Expect(newTable().CustomerOf(Digest("k1"))).To(BeNil(), "a table without customers")
}

// Guards against customers that are lost or kept when a change of the table is applied at another instance.
func TestChangeCarriesCustomers(t *testing.T) {
	g := NewWithT(t)
	from, to := newTable(), newTable()
	from.Customers = newCustomers()
	to.Version, to.Customers = 2, newCustomers()[1:]
	got, err := Diff(from, to).Apply(from)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Customers).To(Equal(to.Customers))
	g.Expect(got.CustomerOf(Digest("k1"))).To(BeNil())
	g.Expect(got.CustomerOf(Digest("k3"))).NotTo(BeNil())
}

// Guards against faulty customers in a table in force.
func TestValidateNamesTheCustomer(t *testing.T) {
	for want, change := range map[string]func(*Table){
		"has no name":      func(t *Table) { t.Customers[0].Name = "" },
		"quick: has a neg": func(t *Table) { t.Customers[0].Quota.Rate = -1 },
		"bound: shares a":  func(t *Table) { t.Customers[1].Keys[0] = Digest("k1") },
	} {
		table := newTable()
		table.Customers = newCustomers()
		change(table)
		NewWithT(t).Expect(table.Validate()).To(MatchError(ContainSubstring(want)))
	}
}
