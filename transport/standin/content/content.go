// Package content makes the bodies that stand-in backend servers serve. Every byte follows from the name and the
// offset, so that a load tool can check any range without a copy.
package content

import (
	"encoding/binary"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// word is the number of bytes made at a time.
const word = 8

// Body is the body of one name.
type Body struct {
	seed uint64
	Size int64 // bytes
}

// New returns the body of a name.
func New(name string, size int64) Body { return Body{seed: xxhash.Sum64String(name), Size: size} }

// ETag returns the strong validator of the body.
func (b Body) ETag() string {
	return `"` + strconv.FormatUint(b.seed, 16) + "-" + strconv.FormatInt(b.Size, 10) + `"`
}

// Fill writes the bytes that start at the offset to p.
func (b Body) Fill(p []byte, offset int64) {
	var w [word]byte
	for n := 0; n < len(p); {
		index := (offset + int64(n)) / word
		skip := int((offset + int64(n)) % word)
		binary.LittleEndian.PutUint64(w[:], mix(b.seed+uint64(index)))
		n += copy(p[n:], w[skip:])
	}
}

// Matches reports whether p holds the bytes that start at the offset.
func (b Body) Matches(p []byte, offset int64) bool {
	want := make([]byte, len(p))
	b.Fill(want, offset)
	return string(want) == string(p)
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
