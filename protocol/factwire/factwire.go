// Package factwire encodes the content of the store, or changes to it, as one instance sends it to others: CBOR, compressed
// when it is large, followed by a signature with the fleet key.
package factwire

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/protocol/gossipwire"
	"azurebridge/state/routing"
)

// MaxSize bounds an encoded message and its decompressed data, in bytes: the store's largest value and some thousand entries fit.
const MaxSize = 8 << 20

// Facts holds the content of the store as the sending instance knows it, or changes to it.
type Facts struct {
	After    catalog.Revision // number 0 for the whole content; otherwise Items are the changes after this revision
	Revision catalog.Revision // of the store, up to which the sender knows its content; of the same era as After
	Age      time.Duration    // time since the store last answered the sender
	Items    []catalog.Item
}

type frame struct {
	Era      uint64 `cbor:",omitempty"` // of both revisions
	After    uint64 `cbor:",omitempty"`
	Revision uint64
	Age      time.Duration `cbor:",omitempty"`
	Items    []itemFrame
}

// itemFrame is one item: the field for its kind of fact is set, or Gone when the key has no usable fact.
type itemFrame struct {
	Key        string
	Gone       bool                 `cbor:",omitempty"`
	Table      *routing.Table       `cbor:",omitempty"`
	Change     *routing.TableChange `cbor:",omitempty"`
	Backend    *routing.Backend     `cbor:",omitempty"`
	Evacuation *catalog.Evacuation  `cbor:",omitempty"`
	Peer       *routing.Peer        `cbor:",omitempty"`
	FleetKey   catalog.FleetKey     `cbor:",omitempty"`
}

// Encode returns the encoded facts, signed with the fleet key. The key may be empty; instances that know a key then reject the
// facts. It fails on a fact of unknown type.
func Encode(key []byte, facts *Facts) ([]byte, error) {
	f := frame{Era: facts.Revision.Era, After: facts.After.Number, Revision: facts.Revision.Number, Age: facts.Age}
	for _, it := range facts.Items {
		out := itemFrame{Key: it.Key}
		switch fact := it.Fact.(type) {
		case *routing.Table:
			out.Table = fact
		case *routing.TableChange:
			out.Change = fact
		case *routing.Backend:
			out.Backend = fact
		case catalog.Evacuation:
			out.Evacuation = &fact
		case *routing.Peer:
			out.Peer = fact
		case catalog.FleetKey:
			out.FleetKey = fact
		case nil:
			out.Gone = true
		default:
			return nil, errors.Errorf("encode facts: %s has the unknown type %T", it.Key, fact)
		}
		f.Items = append(f.Items, out)
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode facts")
	}
	data, err = compress(data)
	if err != nil {
		return nil, errors.Wrap(err, "compress facts")
	}
	return gossipwire.Sign(key, data), nil
}

// Decode checks the signature and returns the facts. With an empty key the signature is not checked, because an instance that
// has just started does not know the fleet key yet.
func Decode(key, data []byte) (*Facts, error) {
	data, err := gossipwire.Verify(key, data)
	if err != nil {
		return nil, errors.Wrap(err, "decode facts")
	}
	data, err = decompress(data)
	if err != nil {
		return nil, errors.Wrap(err, "decompress facts")
	}
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrap(err, "decode facts")
	}
	out := &Facts{
		After: catalog.Revision{Era: f.Era, Number: f.After}, Revision: catalog.Revision{Era: f.Era, Number: f.Revision}, Age: f.Age,
	}
	for _, it := range f.Items {
		fact, err := it.fact()
		if err != nil {
			return nil, errors.Wrapf(err, "decode facts: %s", it.Key)
		}
		out.Items = append(out.Items, catalog.Item{Key: it.Key, Fact: fact})
	}
	return out, nil
}

// lengthSize is the size of the length prefix of each message in a stream, in bytes.
const lengthSize = 4

// AppendMessage appends an encoded message with its length prefix to a stream.
func AppendMessage(stream, message []byte) []byte {
	stream = binary.BigEndian.AppendUint32(stream, uint32(len(message)))
	return append(stream, message...)
}

// ReadMessage reads the next encoded message of a stream. It fails when the message is truncated or longer than MaxSize.
func ReadMessage(r io.Reader) ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.Wrap(err, "read message")
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxSize {
		return nil, errors.Errorf("read message: %d bytes, limit is %d", n, MaxSize)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && len(data) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	return data, errors.Wrap(err, "read message")
}

func (it *itemFrame) fact() (catalog.Fact, error) {
	switch {
	case it.Table != nil:
		if err := it.Table.Validate(); err != nil {
			return nil, err
		}
		it.Table.Index()
		return it.Table, nil
	case it.Change != nil:
		return it.Change, nil
	case it.Backend != nil:
		return it.Backend, nil
	case it.Evacuation != nil:
		return *it.Evacuation, nil
	case it.Peer != nil:
		return it.Peer, nil
	case it.FleetKey != nil:
		return it.FleetKey, nil
	case it.Gone:
		return nil, nil
	}
	return nil, errors.New("item has no fact")
}
