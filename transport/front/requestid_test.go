package front

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a customer's key that reaches the log within the ID of a request whose headers are malformed.
func TestOnlyPlainRequestIDsAreLogged(t *testing.T) {
	g := NewWithT(t)
	for _, id := range []string{"", "9c41d07be2a35f68", "a-b_c.1", strings.Repeat("a", maxLoggedID)} {
		g.Expect(loggedID(id)).To(Equal(id))
	}
	for _, id := range []string{"id Authorization: Token key", "id key", "id\tkey", "id:key", strings.Repeat("a", maxLoggedID+1)} {
		g.Expect(loggedID(id)).To(Equal("(malformed)"), id)
	}
}
