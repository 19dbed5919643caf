package main

import (
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/transport/connlimit"
)

// Guards against bounds that refuse ordinary callers, or overflow, where settings are small, large, decimals or missing.
func TestBoundsFromSettings(t *testing.T) {
	for _, c := range []struct {
		memory, descriptors float64
		budget              int64
		conns               int
	}{
		{0, 0, 0, 0},
		{0.5, 0.5, minBudget, connlimit.MinConns},
		{1, 64, minBudget, connlimit.MinConns},
		{136, 2870, 42781900, 1403},
		{136.5, 2869.5, 42939187, 1402},
		{206, 1 << 20, 64801996, 524256},
		{1 << 30, 1e12, 337769972052787, 499999999968},
	} {
		g := NewWithT(t)
		g.Expect(budgetBytes(c.memory)).To(Equal(c.budget), "memory %v", c.memory)
		g.Expect(connlimit.ForCallers(c.descriptors)).To(Equal(c.conns), "descriptors %v", c.descriptors)
	}
	g := NewWithT(t)
	g.Expect(connlimit.DescriptorLimit(10)).To(Equal(10.0), "the smaller one of the settings' and the system's")
	g.Expect(connlimit.DescriptorLimit(1e15)).To(BeNumerically("<=", 1e15))
}
