// Package content makes the bodies that stand-in backend servers serve. Every byte follows from the name and the
// offset, so that a load tool can check any range without a copy.
package content

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// word is the number of bytes made at a time.
const word = 8

// HeaderDigest carries the checksum of the whole body (RFC 9530), also on answers with a part of it.
const HeaderDigest = "Repr-Digest"

// Body is the body of one name.
type Body struct {
	seed uint64
	Size int64 // bytes
}

// New returns the body of a name.
func New(name string, size int64) Body { return Body{seed: xxhash.Sum64String(name), Size: size} }

// Altered returns a body of the same size whose bytes differ.
func (b Body) Altered() Body { return Body{seed: mix(b.seed ^ 1), Size: b.Size} }

// ETag returns the strong validator of the body.
func (b Body) ETag() string {
	return `"` + strconv.FormatUint(b.seed, 16) + "-" + strconv.FormatInt(b.Size, 10) + `"`
}

// Digest returns the value of the header HeaderDigest: `sha-256=:BASE64:`.
func (b Body) Digest() string {
	sum := sha256.New()
	_, _ = io.Copy(sum, b.Reader(0, b.Size)) // neither side returns errors
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum.Sum(nil)) + ":"
}

// Fill writes the bytes that start at the offset to p.
func (b Body) Fill(p []byte, offset int64) {
	for len(p) > 0 {
		index, skip := uint64(offset/word), offset%word
		if skip != 0 || len(p) < word {
			var w [word]byte
			binary.LittleEndian.PutUint64(w[:], mix(b.seed+index))
			n := copy(p, w[skip:])
			p, offset = p[n:], offset+int64(n)
			continue
		}
		for ; len(p) >= word; index++ {
			binary.LittleEndian.PutUint64(p, mix(b.seed+index))
			p, offset = p[word:], offset+word
		}
	}
}

// Matches reports whether p holds the bytes that start at the offset. It does not allocate.
func (b Body) Matches(p []byte, offset int64) bool {
	for len(p) > 0 {
		index, skip := uint64(offset/word), offset%word
		if skip != 0 || len(p) < word {
			var w [word]byte
			binary.LittleEndian.PutUint64(w[:], mix(b.seed+index))
			n := min(len(p), int(word-skip))
			if string(p[:n]) != string(w[skip:skip+int64(n)]) {
				return false
			}
			p, offset = p[n:], offset+int64(n)
			continue
		}
		for ; len(p) >= word; index++ {
			if binary.LittleEndian.Uint64(p) != mix(b.seed+index) {
				return false
			}
			p, offset = p[word:], offset+word
		}
	}
	return true
}

// Reader returns the bytes from offset to end, exclusive.
func (b Body) Reader(offset, end int64) io.Reader { return &reader{body: b, at: offset, end: end} }

type reader struct {
	body    Body
	at, end int64
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	left := r.end - r.at
	if left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > left {
		p = p[:left]
	}
	r.body.Fill(p, r.at)
	r.at += int64(len(p))
	return len(p), nil
}

// mix is the finaliser of splitmix64: it spreads consecutive numbers over all bits.
func mix(x uint64) uint64 {
	x += 0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
