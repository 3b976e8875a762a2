// Package ringbuffer implements the byte buffers of connections, one for each direction. A buffer starts small, grows
// up to its capacity to fit a message, and releases the memory when the connection is idle.
package ringbuffer

import (
	"errors"
	"io"
	"math/bits"
	"sync/atomic"
)

// MinSize is the initial size of a buffer, and the size that it does not count against a quota.
const MinSize = 2 << 10

// ErrFull reports an operation that would exceed the capacity of a buffer or its quota. The router sends its text to
// clients.
var ErrFull = errors.New("ring: message is over the buffer's cap")

// Quota limits the total memory of many buffers beyond MinSize each. It is safe for concurrent use.
type Quota struct{ available atomic.Int64 }

// NewQuota returns a quota of the given size.
func NewQuota(bytes int64) *Quota {
	quota := &Quota{}
	quota.available.Store(bytes)
	return quota
}

// Available returns the number of bytes that may still be reserved.
func (quota *Quota) Available() int64 { return quota.available.Load() }

// reserve reserves bytes, or returns them if the number is negative. It reports false, and reserves nothing, if the quota
// would be exceeded. A nil quota has no limit.
func (quota *Quota) reserve(bytes int) bool {
	if quota == nil {
		return true
	}
	if quota.available.Add(-int64(bytes)) < 0 && bytes > 0 {
		quota.available.Add(int64(bytes))
		return false
	}
	return true
}

// Buffer is a ring of bytes: Write and Fill append at its end, Read and Discard remove from its start. Use New: the
// zero value has no capacity. It is not safe for concurrent use.
type Buffer struct {
	buf        []byte
	start, len int
	cap        int
	expected   int    // the length of the message that is being received, as far as announced
	quota      *Quota // nil: only the capacity limits the buffer
}

// New returns an empty buffer that holds at most capacity bytes.
func New(capacity int) *Buffer { return &Buffer{cap: capacity} }

// WithQuota makes the buffer count against a quota and returns it. Its owner must call Free.
func (buffer *Buffer) WithQuota(quota *Quota) *Buffer {
	buffer.quota = quota
	return buffer
}

// Len returns the number of bytes in the buffer.
func (buffer *Buffer) Len() int { return buffer.len }

// Cap returns the maximum number of bytes in the buffer.
func (buffer *Buffer) Cap() int { return buffer.cap }

// Size returns the allocated memory in bytes.
func (buffer *Buffer) Size() int { return len(buffer.buf) }

// Expect announces the length of the message that is being received. The buffer still grows with the bytes received,
// but in few steps, each of which copies what has been received.
func (buffer *Buffer) Expect(length int) { buffer.expected = length }

// reserve allocates space for n more bytes.
func (buffer *Buffer) reserve(n int) error {
	need := buffer.len + n
	if need > buffer.cap {
		return ErrFull
	}
	if need > len(buffer.buf) {
		size := min(buffer.cap, round(max(need, min(2*len(buffer.buf), buffer.expected))))
		if !buffer.quota.reserve(size - max(len(buffer.buf), MinSize)) {
			return ErrFull
		}
		buffer.resize(size)
	}
	return nil
}

// round rounds up to a power of two, and from coarse on to a multiple of coarse, so that a large message takes little
// more memory than its length.
func round(size int) int {
	const coarse = 16 << 10
	if size > coarse {
		return (size + coarse - 1) / coarse * coarse
	}
	return max(MinSize, 1<<bits.Len(uint(size-1)))
}

func (buffer *Buffer) resize(size int) {
	buf := make([]byte, size)
	buffer.copyOut(buf)
	buffer.buf, buffer.start = buf, 0
}

func (buffer *Buffer) copyOut(target []byte) {
	n := copy(target[:buffer.len], buffer.buf[buffer.start:])
	copy(target[n:buffer.len], buffer.buf)
}

// free returns the contiguous free space after the last byte.
func (buffer *Buffer) free() []byte {
	end := buffer.start + buffer.len
	if end < len(buffer.buf) {
		return buffer.buf[end:]
	}
	return buffer.buf[end-len(buffer.buf) : buffer.start]
}

// Fill reads once from a reader. It appends at least one byte unless it returns an error.
func (buffer *Buffer) Fill(reader io.Reader) error {
	if buffer.len == len(buffer.buf) {
		if err := buffer.reserve(1); err != nil {
			return err
		}
	}
	n, err := reader.Read(buffer.free())
	buffer.len += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// Write appends all of p, or nothing if it returns ErrFull.
func (buffer *Buffer) Write(p []byte) (int, error) { return add(buffer, p) }

// WriteString is Write for a string.
func (buffer *Buffer) WriteString(s string) (int, error) { return add(buffer, s) }

func add[T []byte | string](buffer *Buffer, data T) (int, error) {
	if err := buffer.reserve(len(data)); err != nil {
		return 0, err
	}
	for rest := data; len(rest) > 0; {
		n := copy(buffer.free(), rest)
		buffer.len += n
		rest = rest[n:]
	}
	return len(data), nil
}

// Peek returns the first n bytes as one slice, or fewer if the buffer has fewer. The slice is valid until the next call
// that changes the buffer.
func (buffer *Buffer) Peek(n int) []byte {
	n = min(n, buffer.len)
	if buffer.start+n > len(buffer.buf) {
		buffer.resize(len(buffer.buf))
	}
	return buffer.buf[buffer.start : buffer.start+n]
}

// Discard removes the first n bytes, or fewer if the buffer has fewer, and returns the number removed.
func (buffer *Buffer) Discard(n int) int {
	n = min(n, buffer.len)
	buffer.len -= n
	if buffer.start += n; buffer.start >= len(buffer.buf) {
		buffer.start -= len(buffer.buf)
	}
	if buffer.len == 0 {
		buffer.start = 0
	}
	return n
}

// Read implements io.Reader. It returns io.EOF if the buffer is empty.
func (buffer *Buffer) Read(p []byte) (int, error) {
	if buffer.len == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	n := copy(p, buffer.Peek(len(p)))
	buffer.Discard(n)
	return n, nil
}

// WriteTo implements io.WriterTo. Bytes that the writer did not accept remain in the buffer.
func (buffer *Buffer) WriteTo(writer io.Writer) (int64, error) {
	var total int64
	for buffer.len > 0 {
		n, err := writer.Write(buffer.buf[buffer.start:min(buffer.start+buffer.len, len(buffer.buf))])
		buffer.Discard(n)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// ShrinkIfEmpty releases the memory of a large message if the buffer is empty.
func (buffer *Buffer) ShrinkIfEmpty() {
	if buffer.len == 0 && len(buffer.buf) > MinSize {
		buffer.Free()
	}
}

// Free discards the content and releases the memory.
func (buffer *Buffer) Free() {
	buffer.quota.reserve(-max(len(buffer.buf)-MinSize, 0))
	buffer.buf, buffer.start, buffer.len, buffer.expected = nil, 0, 0, 0
}
