package storeapi

import (
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/homelease"
	"azurebridge/state"
)

// Guards against a record that changes in encoding, and against accepting an empty or too large set of witnesses.
func TestWitnessesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	want := homelease.Record{Region: "r", Number: 7, Witnesses: []state.InstanceName{"a", "b"}}
	data, err := EncodeWitnesses(&want)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := DecodeWitnesses("r", &Entry{Value: data, Version: 7})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*got).To(Equal(want))
	got, err = DecodeWitnesses("r", &Entry{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(BeNil())
	for _, invalid := range []string{`{}`, `{"witnesses":["a","b","c","d","e","f"]}`, `x`} {
		_, err = DecodeWitnesses("r", &Entry{Value: []byte(invalid), Version: 1})
		g.Expect(err).To(HaveOccurred(), invalid)
	}
}
