// Package configcodec encodes configurations for the store and for transfer between instances: canonical CBOR,
// compressed, with a digest over the encoded bytes. The store holds the bytes in chunks, and a head that refers to them.
package configcodec

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurebridge/coordination/rollout"
	"azurebridge/state"
)

// Keys and bounds of the stored form.
const (
	KeyHead     = "config/head"
	ChunkPrefix = "config/chunk/"
	MaxChunk    = 512 << 10 // bytes of one chunk; well below the store's limit for a value
	MaxPlain    = 32 << 20  // bytes of a configuration before compression
	MaxRecent   = 16        // accepted revisions listed in a head, to find out whether an apply whose reply was lost took effect
	MaxHead     = 64 << 10  // bytes of an encoded head
)

// ErrFormat is the cause of every decoding error.
var ErrFormat = errors.New("malformed configuration")

var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1024, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Encode returns the encoded configuration. Equal configurations give equal bytes. It fails when the bytes exceed MaxPlain
// before compression or rollout.MaxData after it.
func Encode(c *state.Config) (rollout.Item, error) {
	plain, err := encMode.Marshal(c)
	if err != nil {
		return rollout.Item{}, errors.Wrap(err, "encode configuration")
	}
	if len(plain) > MaxPlain {
		return rollout.Item{}, errors.Errorf("encode configuration: %d bytes, limit is %d", len(plain), MaxPlain)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return rollout.Item{}, errors.Wrap(err, "encode configuration")
	}
	if _, err := w.Write(plain); err != nil {
		return rollout.Item{}, errors.Wrap(err, "encode configuration")
	}
	if err := w.Close(); err != nil {
		return rollout.Item{}, errors.Wrap(err, "encode configuration")
	}
	if out.Len() > rollout.MaxData {
		return rollout.Item{}, errors.Errorf("encode configuration: %d bytes, limit is %d", out.Len(), rollout.MaxData)
	}
	return rollout.NewItem(c.Revision, out.Bytes()), nil
}

// Decode returns the configuration of an item. Its errors have ErrFormat as cause.
func Decode(it rollout.Item) (*state.Config, error) {
	if len(it.Data) > rollout.MaxData {
		return nil, errors.Wrapf(ErrFormat, "%d bytes, limit is %d", len(it.Data), rollout.MaxData)
	}
	if rollout.Sum(it.Data) != it.Digest {
		return nil, errors.Wrap(ErrFormat, "digest does not match")
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(it.Data)), MaxPlain+1))
	if err != nil {
		return nil, errors.Wrap(ErrFormat, err.Error())
	}
	if len(plain) > MaxPlain {
		return nil, errors.Wrapf(ErrFormat, "more than %d bytes after decompression", MaxPlain)
	}
	c := &state.Config{}
	if err := decMode.Unmarshal(plain, c); err != nil {
		return nil, errors.Wrap(ErrFormat, err.Error())
	}
	if c.Revision != it.Revision {
		return nil, errors.Wrapf(ErrFormat, "configuration holds revision %d, expected %d", c.Revision, it.Revision)
	}
	return c, nil
}

// Head is the value of KeyHead. Writing it makes the configuration that it refers to the accepted one.
type Head struct {
	Revision state.Revision `json:"revision"`
	Digest   string         `json:"digest"` // of the encoded configuration, in hexadecimal
	Size     int            `json:"size"`   // bytes
	Chunks   int            `json:"chunks"`
	Author   string         `json:"author"`
	Nonce    string         `json:"nonce"`
	Recent   []Accepted     `json:"recent"` // the last accepted revisions including this one, newest first
}

// Accepted names one accepted revision.
type Accepted struct {
	Revision state.Revision `json:"revision"`
	Digest   string         `json:"digest"`
	Nonce    string         `json:"nonce"`   // of the attempt; different for each
	Request  string         `json:"request"` // of the operator; the same when a request is repeated
}

// Next returns the head that accepts the item as the successor of h, and lists it first in Recent.
func (h Head) Next(it rollout.Item, author, nonce, request string) Head {
	n := Head{Revision: it.Revision, Digest: Hex(it.Digest), Size: len(it.Data), Chunks: Chunks(len(it.Data)), Author: author, Nonce: nonce}
	n.Recent = append([]Accepted{{n.Revision, n.Digest, nonce, request}}, h.Recent...)
	n.Recent = n.Recent[:min(len(n.Recent), MaxRecent)]
	return n
}

// Find returns the accepted revision of an operator's request, if Recent still lists it.
func (h Head) Find(request string) (Accepted, bool) {
	for _, a := range h.Recent {
		if request != "" && a.Request == request {
			return a, true
		}
	}
	return Accepted{}, false
}

// EncodeHead returns the value of KeyHead.
func EncodeHead(h Head) ([]byte, error) {
	data, err := json.Marshal(h)
	return data, errors.Wrap(err, "encode configuration head")
}

// DecodeHead parses the value of KeyHead. Its errors have ErrFormat as cause.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if len(data) > MaxHead {
		return h, errors.Wrapf(ErrFormat, "head of %d bytes, limit is %d", len(data), MaxHead)
	}
	if err := json.Unmarshal(data, &h); err != nil {
		return h, errors.Wrap(ErrFormat, err.Error())
	}
	if _, err := ParseDigest(h.Digest); err != nil {
		return h, err
	}
	if h.Size < 0 || h.Size > rollout.MaxData || h.Chunks != Chunks(h.Size) {
		return h, errors.Wrapf(ErrFormat, "head has %d bytes in %d chunks", h.Size, h.Chunks)
	}
	return h, nil
}

// Chunks returns the number of chunks of an encoded configuration.
func Chunks(size int) int { return (size + MaxChunk - 1) / MaxChunk }

// Chunk returns chunk n of the data, counted from 0.
func Chunk(data []byte, n int) []byte { return data[n*MaxChunk : min(len(data), (n+1)*MaxChunk)] }

// ChunkKey returns the store's key of chunk n of the configuration with this digest.
func ChunkKey(digest string, n int) string { return fmt.Sprintf("%s%s/%d", ChunkPrefix, digest, n) }

// Hex returns a digest in hexadecimal.
func Hex(d rollout.Digest) string { return hex.EncodeToString(d[:]) }

// ParseDigest parses a digest in hexadecimal. Its errors have ErrFormat as cause.
func ParseDigest(s string) (rollout.Digest, error) {
	var d rollout.Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, errors.Wrapf(ErrFormat, "%.80q is not a digest", s)
	}
	copy(d[:], b)
	return d, nil
}
