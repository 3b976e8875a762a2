// Package ring holds the byte buffer that each connection has one of in each
// direction. A buffer starts small, grows to the message at hand up to its
// cap, and gives the memory back when it is idle.
package ring

import (
	"errors"
	"io"
	"math/bits"
)

// Least is the size that a buffer starts with and shrinks back to.
const Least = 2 << 10

// ErrFull says that more was asked of a buffer than its cap.
var ErrFull = errors.New("ring: message is over the buffer's cap")

// Buffer is a ring of bytes: written at one end, read at the other. The zero
// value is not ready; use New. It is not safe for concurrent use.
type Buffer struct {
	buf        []byte
	start, len int
	cap        int
}

// New returns an empty buffer that holds at most most bytes.
func New(most int) *Buffer { return &Buffer{cap: most} }

// Len is the number of bytes held.
func (b *Buffer) Len() int { return b.len }

// Cap is the most that the buffer may hold.
func (b *Buffer) Cap() int { return b.cap }

// Size is the memory in use.
func (b *Buffer) Size() int { return len(b.buf) }

// reserve makes room for n more bytes.
func (b *Buffer) reserve(n int) error {
	need := b.len + n
	if need > b.cap {
		return ErrFull
	}
	if need > len(b.buf) {
		b.resize(min(b.cap, round(need)))
	}
	return nil
}

// round goes up to a power of two, and from coarse on to a multiple of it, so
// that a large message takes little more than its length.
func round(n int) int {
	const coarse = 16 << 10
	if n > coarse {
		return (n + coarse - 1) / coarse * coarse
	}
	return max(Least, 1<<bits.Len(uint(n-1)))
}

func (b *Buffer) resize(size int) {
	buf := make([]byte, size)
	b.copyOut(buf)
	b.buf, b.start = buf, 0
}

func (b *Buffer) copyOut(to []byte) {
	n := copy(to[:b.len], b.buf[b.start:])
	copy(to[n:b.len], b.buf)
}

// room is the free stretch behind the last byte, as far as it lies in one piece.
func (b *Buffer) room() []byte {
	end := b.start + b.len
	if end < len(b.buf) {
		return b.buf[end:]
	}
	return b.buf[end-len(b.buf) : b.start]
}

// Fill reads once from r, so that at least one byte more is held unless r fails.
func (b *Buffer) Fill(r io.Reader) error {
	if b.len == len(b.buf) {
		if err := b.reserve(1); err != nil {
			return err
		}
	}
	n, err := r.Read(b.room())
	b.len += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// Grow makes sure that a message of n bytes fits.
func (b *Buffer) Grow(n int) error {
	if n <= b.len {
		return nil
	}
	return b.reserve(n - b.len)
}

// Write appends p whole, or nothing and ErrFull.
func (b *Buffer) Write(p []byte) (int, error) { return add(b, p) }

// WriteString is Write of a string.
func (b *Buffer) WriteString(s string) (int, error) { return add(b, s) }

func add[T []byte | string](b *Buffer, p T) (int, error) {
	if err := b.reserve(len(p)); err != nil {
		return 0, err
	}
	for rest := p; len(rest) > 0; {
		n := copy(b.room(), rest)
		b.len += n
		rest = rest[n:]
	}
	return len(p), nil
}

// Peek returns the first n bytes in one piece, fewer when fewer are held. They
// are good until the next call that changes the buffer.
func (b *Buffer) Peek(n int) []byte {
	n = min(n, b.len)
	if b.start+n > len(b.buf) {
		b.resize(len(b.buf))
	}
	return b.buf[b.start : b.start+n]
}

// Discard drops the first n bytes, fewer when fewer are held.
func (b *Buffer) Discard(n int) int {
	n = min(n, b.len)
	b.len -= n
	if b.start += n; b.start >= len(b.buf) {
		b.start -= len(b.buf)
	}
	if b.len == 0 {
		b.start = 0
	}
	return n
}

// Read takes bytes out; it returns io.EOF when none are held.
func (b *Buffer) Read(p []byte) (int, error) {
	if b.len == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	n := copy(p, b.Peek(len(p)))
	b.Discard(n)
	return n, nil
}

// WriteTo writes all that is held to w, and keeps what w did not take.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	var sum int64
	for b.len > 0 {
		n, err := w.Write(b.buf[b.start:min(b.start+b.len, len(b.buf))])
		b.Discard(n)
		sum += int64(n)
		if err != nil {
			return sum, err
		}
	}
	return sum, nil
}

// Idle gives back what a large message took, once nothing is held.
func (b *Buffer) Idle() {
	if b.len == 0 && len(b.buf) > Least {
		b.buf, b.start = nil, 0
	}
}
