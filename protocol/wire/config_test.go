package wire_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/protocol/wire"
	"azurebridge/state"
)

// Guards against a configuration part of maximum size that does not fit into a frame, or that changes in encoding.
func TestConfigPartFitsIntoFrame(t *testing.T) {
	g := NewWithT(t)
	name := state.InstanceName(strings.Repeat("n", state.MaxNameLength))
	e := &message.Envelope{From: name, Incarnation: 1 << 63, To: name, Body: &message.ConfigPush{
		Revision: 1 << 63, Data: make([]byte, message.MaxConfigPart), Digest: message.ConfigDigest{1, 2}, Size: 4 << 20, Part: 85,
	}}
	data, err := wire.Encode(e)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(wire.Decode(data)).To(Equal(e))
}
