package content

import (
	"crypto/sha256"
	"encoding/base64"
	"io"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against bytes that depend on how a body is split into chunks, which would make resumed bodies wrong.
func TestBytesDoNotDependOnChunks(t *testing.T) {
	g := NewWithT(t)
	b := New("/tapes/item-000001", 1000)
	whole, err := io.ReadAll(b.Reader(0, b.Size))
	g.Expect(err).NotTo(HaveOccurred())
	for from := int64(0); from < 40; from++ {
		for length := int64(0); length < 40; length++ {
			part := make([]byte, length)
			b.Fill(part, from)
			g.Expect(part).To(Equal(whole[from : from+length]))
			g.Expect(b.Matches(part, from)).To(BeTrue())
		}
	}
	sum := sha256.Sum256(whole)
	g.Expect(b.Digest()).To(Equal("sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"))
}

// Guards against a check that misses a changed byte.
func TestMatchesFindsEveryChangedByte(t *testing.T) {
	g := NewWithT(t)
	b := New("x", 100)
	part := make([]byte, 30)
	b.Fill(part, 3)
	for i := range part {
		part[i] ^= 1
		g.Expect(b.Matches(part, 3)).To(BeFalse())
		part[i] ^= 1
	}
	b.Altered().Fill(part, 3)
	g.Expect(b.Matches(part, 3)).To(BeFalse())
}

func BenchmarkMatches(b *testing.B) {
	body := New("x", 1<<23)
	part := make([]byte, 64<<10)
	body.Fill(part, 0)
	b.SetBytes(int64(len(part)))
	b.ReportAllocs()
	for b.Loop() {
		if !body.Matches(part, 0) {
			b.Fatal("body does not match itself")
		}
	}
}
