// Package factwire encodes what an instance knows of the store, for an instance that the store turns away: CBOR, followed
// by the signature of the fleet.
package factwire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/protocol/gossipwire"
	"azurebridge/state/routing"
)

// MaxSize bounds an encoded state, in bytes: the store's largest value and some thousand entries fit.
const MaxSize = 8 << 20

// Facts is the content of the store as an instance knows it.
type Facts struct {
	Revision uint64 // up to which the instance knows the store
	Items    []catalog.Item
}

type frame struct {
	Revision uint64
	Items    []itemFrame
}

// itemFrame holds one of the kinds of facts.
type itemFrame struct {
	Key        string
	Table      *routing.Table      `cbor:",omitempty"`
	Backend    *routing.Backend    `cbor:",omitempty"`
	Evacuation *catalog.Evacuation `cbor:",omitempty"`
	Peer       *routing.Peer       `cbor:",omitempty"`
	FleetKey   catalog.FleetKey    `cbor:",omitempty"`
}

// Encode returns the encoded facts, signed with the fleet's key when there is one.
func Encode(key []byte, facts *Facts) ([]byte, error) {
	f := frame{Revision: facts.Revision}
	for _, it := range facts.Items {
		out := itemFrame{Key: it.Key}
		switch fact := it.Fact.(type) {
		case *routing.Table:
			out.Table = fact
		case *routing.Backend:
			out.Backend = fact
		case catalog.Evacuation:
			out.Evacuation = &fact
		case *routing.Peer:
			out.Peer = fact
		case catalog.FleetKey:
			out.FleetKey = fact
		default:
			return nil, errors.Errorf("encode facts: %s is of the unknown kind %T", it.Key, fact)
		}
		f.Items = append(f.Items, out)
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode facts")
	}
	return gossipwire.Sign(key, data), nil
}

// Decode returns the facts. The signature is checked when the key is known: an instance that has just started knows none.
func Decode(key, data []byte) (*Facts, error) {
	data, err := gossipwire.Verify(key, data)
	if err != nil {
		return nil, errors.Wrap(err, "decode facts")
	}
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrap(err, "decode facts")
	}
	out := &Facts{Revision: f.Revision}
	for _, it := range f.Items {
		fact, err := it.fact()
		if err != nil {
			return nil, errors.Wrapf(err, "decode facts: %s", it.Key)
		}
		out.Items = append(out.Items, catalog.Item{Key: it.Key, Fact: fact})
	}
	return out, nil
}

func (it *itemFrame) fact() (catalog.Fact, error) {
	switch {
	case it.Table != nil:
		if err := it.Table.Validate(); err != nil {
			return nil, err
		}
		it.Table.Index()
		return it.Table, nil
	case it.Backend != nil:
		return it.Backend, nil
	case it.Evacuation != nil:
		return *it.Evacuation, nil
	case it.Peer != nil:
		return it.Peer, nil
	case it.FleetKey != nil:
		return it.FleetKey, nil
	}
	return nil, errors.New("no fact")
}
