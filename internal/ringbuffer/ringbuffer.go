// Package ringbuffer holds the byte buffer that each connection has one of in each
// direction. A buffer starts small, grows to the message at hand up to its
// cap, and gives the memory back when it is idle.
package ringbuffer

import (
	"errors"
	"io"
	"math/bits"
	"sync/atomic"
)

// MinSize is the size that a buffer starts with and shrinks back to.
const MinSize = 2 << 10

// ErrFull says that more was asked of a buffer than its cap.
var ErrFull = errors.New("ring: message is over the buffer's cap")

// Quota bounds what many buffers take together beyond the size that each starts
// with. It is safe for concurrent use.
type Quota struct{ left atomic.Int64 }

// NewQuota returns a quota of n bytes.
func NewQuota(n int64) *Quota {
	q := &Quota{}
	q.left.Store(n)
	return q
}

// Left is what may still be taken.
func (q *Quota) Left() int64 { return q.left.Load() }

func (q *Quota) take(n int) bool {
	if q == nil {
		return true
	}
	if q.left.Add(-int64(n)) < 0 && n > 0 {
		q.left.Add(int64(n))
		return false
	}
	return true
}

// Buffer is a ring of bytes: written at one end, read at the other. The zero
// value is not ready; use New. It is not safe for concurrent use.
type Buffer struct {
	buf        []byte
	start, len int
	cap        int
	quota      *Quota // nil: only the cap binds
}

// New returns an empty buffer that holds at most most bytes.
func New(most int) *Buffer { return &Buffer{cap: most} }

// Within makes the buffer count against a quota. Its owner must Free it.
func (b *Buffer) Within(q *Quota) *Buffer {
	b.quota = q
	return b
}

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
		size := min(b.cap, round(need))
		if !b.quota.take(size - max(len(b.buf), MinSize)) {
			return ErrFull
		}
		b.resize(size)
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
	return max(MinSize, 1<<bits.Len(uint(n-1)))
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
	if b.len == 0 && len(b.buf) > MinSize {
		b.Free()
	}
}

// Free drops all that is held and gives the memory back.
func (b *Buffer) Free() {
	b.quota.take(-max(len(b.buf)-MinSize, 0))
	b.buf, b.start, b.len = nil, 0, 0
}
