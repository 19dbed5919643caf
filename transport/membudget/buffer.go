package membudget

import (
	"io"

	"github.com/pkg/errors"
)

// minCapacity is the capacity with which a buffer starts, in bytes.
const minCapacity = 4 << 10

// Reasons for which a body is not read to its end.
var (
	ErrExhausted = errors.New("the memory for callers and servers is used up")
	ErrFull      = errors.New("the body is larger than the buffer")
)

// Buffer holds a body. Its capacity is reserved in steps as bytes arrive, so that an announced body that never comes costs
// nothing.
type Buffer struct {
	hold  *Hold
	bound int64  // max size
	small bool   // see IsSmall; a large buffer is for Large, whatever its hold is for
	next  []byte // a byte that has been read beyond the buffer, if any
	data  []byte
}

// NewBuffer returns an empty buffer of up to bound bytes. The capacity does not exceed the announced size; -1 stands for an
// unknown one.
func NewBuffer(hold *Hold, announced, bound int64) *Buffer {
	b := &Buffer{hold: hold, bound: bound, small: IsSmall(announced)}
	if announced >= 0 {
		b.bound = min(bound, announced)
	}
	return b
}

// Bytes returns what has been read. It stays reserved until the hold is freed.
func (b *Buffer) Bytes() []byte { return b.data }

// Free releases the buffer, whose bytes must not be used any more.
func (b *Buffer) Free() {
	b.hold.Release(int64(cap(b.data)))
	b.data = nil
}

// Rest returns what follows the bytes of the buffer.
func (b *Buffer) Rest(source io.Reader) io.Reader {
	if len(b.next) == 0 {
		return source
	}
	return &restReader{b.next, source}
}

// Fill reads the source to its end and returns nil. It returns ErrFull when the source has more bytes than the bound,
// ErrExhausted when the budget is used up, and any other error of the source.
func (b *Buffer) Fill(source io.Reader) error {
	for {
		if len(b.data) == cap(b.data) {
			// Only a further byte justifies a larger buffer.
			if err := b.readNext(source); err != nil {
				return ignoreEOF(err)
			}
			if int64(len(b.data)) >= b.bound {
				return ErrFull
			}
			if !b.grow() {
				return ErrExhausted
			}
		}
		n, err := source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// readNext reads one byte into next.
func (b *Buffer) readNext(source io.Reader) error {
	var one [1]byte
	if _, err := io.ReadFull(source, one[:]); err != nil {
		return err
	}
	b.next = one[:]
	return nil
}

// grow doubles the capacity within the bound and takes over the byte of next. It returns false when the budget is used up.
func (b *Buffer) grow() bool {
	old := int64(cap(b.data))
	capacity := min(max(minCapacity, 2*old), b.bound)
	if !b.reserve(capacity) {
		return false
	}
	data := make([]byte, len(b.data), capacity)
	copy(data, b.data)
	b.data = append(data, b.next...)
	b.next = nil
	b.hold.Release(old)
	return true
}

func (b *Buffer) reserve(n int64) bool {
	if b.small {
		return b.hold.Reserve(n)
	}
	return b.hold.reserve(n, Large)
}

func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// restReader reads the bytes that are left and then the source.
type restReader struct {
	left   []byte
	source io.Reader
}

func (r *restReader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		return r.source.Read(p)
	}
	n := copy(p, r.left)
	r.left = r.left[n:]
	return n, nil
}
