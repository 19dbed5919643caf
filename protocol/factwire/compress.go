package factwire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// Forms of the encoded facts, in the first byte.
const (
	formPlain   = 0
	formDeflate = 1
)

// minCompressed is the size from which facts are compressed, in bytes. Smaller ones gain little.
const minCompressed = 4 << 10

// pack puts the form in front of the data, and compresses it when it is large: tables of many routes shrink to a fraction.
func pack(data []byte) ([]byte, error) {
	if len(data) < minCompressed {
		return append([]byte{formPlain}, data...), nil
	}
	out := bytes.NewBuffer([]byte{formDeflate})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpack returns the data. It fails for an unknown form and for data that is longer than MaxSize.
func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, errors.New("no data")
	}
	switch packed[0] {
	case formPlain:
		return packed[1:], nil
	case formDeflate:
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed[1:])), MaxSize+1))
		if err == nil && len(data) > MaxSize {
			err = errors.Errorf("data is longer than %d bytes", MaxSize)
		}
		return data, err
	}
	return nil, errors.Errorf("unknown form %d", packed[0])
}
