// Package content generates the bodies that stand-in backend servers serve. Every byte depends only on the name and the
// offset, so that a load tool can check any range without a copy of the body.
package content

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// wordSize is the number of bytes generated at a time.
const wordSize = 8

// HeaderDigest is the header with the checksum of the whole body (RFC 9530); partial answers carry it too.
const HeaderDigest = "Repr-Digest"

// Body describes the generated body of one name.
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

// Digest returns the value of HeaderDigest: `sha-256=:BASE64:`. It generates the whole body.
func (b Body) Digest() string {
	sum := sha256.New()
	_, _ = io.Copy(sum, b.Reader(0, b.Size)) // neither side returns errors
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum.Sum(nil)) + ":"
}

// Fill writes the bytes that start at the offset to p.
func (b Body) Fill(p []byte, offset int64) {
	for len(p) > 0 {
		index, skip := uint64(offset/wordSize), offset%wordSize
		if skip != 0 || len(p) < wordSize {
			var w [wordSize]byte
			binary.LittleEndian.PutUint64(w[:], mix(b.seed+index))
			n := copy(p, w[skip:])
			p, offset = p[n:], offset+int64(n)
			continue
		}
		for ; len(p) >= wordSize; index++ {
			binary.LittleEndian.PutUint64(p, mix(b.seed+index))
			p, offset = p[wordSize:], offset+wordSize
		}
	}
}

// Matches reports whether p holds the bytes that start at the offset. It does not allocate.
func (b Body) Matches(p []byte, offset int64) bool {
	for len(p) > 0 {
		index, skip := uint64(offset/wordSize), offset%wordSize
		if skip != 0 || len(p) < wordSize {
			var w [wordSize]byte
			binary.LittleEndian.PutUint64(w[:], mix(b.seed+index))
			n := min(len(p), int(wordSize-skip))
			if string(p[:n]) != string(w[skip:skip+int64(n)]) {
				return false
			}
			p, offset = p[n:], offset+int64(n)
			continue
		}
		for ; len(p) >= wordSize; index++ {
			if binary.LittleEndian.Uint64(p) != mix(b.seed+index) {
				return false
			}
			p, offset = p[wordSize:], offset+wordSize
		}
	}
	return true
}

// Reader returns a reader of the bytes from offset to end, exclusive.
func (b Body) Reader(offset, end int64) io.Reader { return &reader{body: b, offset: offset, end: end} }

type reader struct {
	body        Body
	offset, end int64
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	remaining := r.end - r.offset
	if remaining <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > remaining {
		p = p[:remaining]
	}
	r.body.Fill(p, r.offset)
	r.offset += int64(len(p))
	return len(p), nil
}

// mix is the finaliser of splitmix64: it maps consecutive numbers to values that look random in all bits.
func mix(x uint64) uint64 {
	x += 0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
