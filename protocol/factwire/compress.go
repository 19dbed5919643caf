package factwire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// Compression methods, named by the first byte of the encoded facts.
const (
	methodNone    = 0
	methodDeflate = 1
)

// minCompressSize is the smallest size of data that is compressed, in bytes. Compression saves little on smaller data.
const minCompressSize = 4 << 10

// compress returns the data after a byte for the compression method. Data of at least minCompressSize is compressed: tables of
// many routes shrink to a fraction.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressSize {
		return append([]byte{methodNone}, data...), nil
	}
	out := bytes.NewBuffer([]byte{methodDeflate})
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

// decompress reverses compress. It fails for an unknown compression method and for more than MaxSize bytes of decompressed data.
func decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, errors.New("no data")
	}
	switch compressed[0] {
	case methodNone:
		return compressed[1:], nil
	case methodDeflate:
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed[1:])), MaxSize+1))
		if err == nil && len(data) > MaxSize {
			err = errors.Errorf("data is longer than %d bytes", MaxSize)
		}
		return data, err
	}
	return nil, errors.Errorf("unknown compression method %d", compressed[0])
}
