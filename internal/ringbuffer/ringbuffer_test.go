package ringbuffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// Compares a buffer with a byte slice under any order of writes, reads, growth and wrapping: it must return the same
// bytes and never exceed its capacity.
func FuzzModel(f *testing.F) {
	f.Add([]byte{10, 3, 200, 150, 7, 255, 255, 1, 90})
	f.Add([]byte{255, 254, 253, 252, 0, 0, 9, 9, 9, 128, 127})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const capacity = 8 << 10
		buffer := New(capacity)
		var model []byte
		next := byte(0)
		for _, step := range steps[:min(len(steps), 300)] { // more steps would not reach other states
			count := int(step>>2) * 64
			switch step % 4 {
			case 0:
				data := make([]byte, count)
				for i := range data {
					data[i], next = next, next+1
				}
				_, err := buffer.Write(data)
				if (err != nil) != (len(model)+count > capacity) {
					t.Fatalf("write of %d bytes after %d: %v", count, len(model), err)
				}
				if err == nil {
					model = append(model, data...)
				}
			case 1:
				buffer.Discard(count)
				model = model[min(count, len(model)):]
			case 2:
				if diff := cmp.Diff(model[:min(count, len(model))], buffer.Peek(count), cmp.Transformer("text", func(data []byte) string { return string(data) })); diff != "" {
					t.Fatal(diff)
				}
			case 3:
				buffer.ShrinkIfEmpty()
			}
			if buffer.Len() != len(model) || buffer.Size() > capacity {
				t.Fatalf("%d bytes in %d of memory, want %d", buffer.Len(), buffer.Size(), len(model))
			}
		}
		var out bytes.Buffer
		if _, err := buffer.WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), model) {
			t.Fatalf("drained %q, %v; want %q", out.Bytes(), err, model)
		}
	})
}

// The memory of a large message is released when the connection is idle: 1,024 idle connections must fit in the
// router's memory limit.
func TestGrowsAndShrinks(t *testing.T) {
	buffer := New(256 << 10)
	if buffer.Size() != 0 {
		t.Errorf("a new buffer has %d bytes of memory", buffer.Size())
	}
	big := strings.Repeat("x", 130<<10)
	source := strings.NewReader(big)
	for buffer.Len() < len(big) {
		if err := buffer.Fill(source); err != nil {
			t.Fatal(err)
		}
	}
	if buffer.Size() > 144<<10 {
		t.Errorf("%d bytes of memory for a message of %d", buffer.Size(), len(big))
	}
	if buffer.ShrinkIfEmpty(); buffer.Size() == 0 {
		t.Error("a buffer that is not empty was released")
	}
	buffer.Discard(len(big))
	if buffer.ShrinkIfEmpty(); buffer.Size() != 0 {
		t.Errorf("%d bytes of memory in an empty buffer", buffer.Size())
	}
}

// The incomplete messages of hundreds of clients must stay within one quota, and each buffer must return its share.
func TestQuota(t *testing.T) {
	quota := NewQuota(8 << 10)
	var buffers []*Buffer
	for {
		buffer := New(1 << 20).WithQuota(quota)
		buffers = append(buffers, buffer)
		if _, err := buffer.Write(make([]byte, MinSize+1)); err != nil {
			if !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			break
		}
	}
	if len(buffers) != 5 || quota.Available() != 0 {
		t.Errorf("%d buffers, %d bytes available", len(buffers), quota.Available())
	}
	if _, err := buffers[4].Write(make([]byte, MinSize)); err != nil {
		t.Errorf("MinSize must not count against the quota: %v", err)
	}
	buffers[0].Discard(MinSize + 1)
	buffers[0].ShrinkIfEmpty()
	for _, buffer := range buffers[1:] {
		buffer.Free()
	}
	if quota.Available() != 8<<10 {
		t.Errorf("%d bytes available after all buffers were released", quota.Available())
	}
}

func TestErrors(t *testing.T) {
	buffer := New(MinSize)
	if _, err := buffer.Write(make([]byte, MinSize+1)); !errors.Is(err, ErrFull) {
		t.Errorf("write beyond the capacity: %v", err)
	}
	if err := buffer.Fill(iotest.ErrReader(io.ErrClosedPipe)); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("fill: %v", err)
	}
	if _, err := buffer.WriteString(strings.Repeat("x", MinSize)); err != nil {
		t.Error(err)
	}
	if err := buffer.Fill(strings.NewReader("y")); !errors.Is(err, ErrFull) {
		t.Errorf("fill of a full buffer: %v", err)
	}
	if n, err := buffer.Read(make([]byte, 2*MinSize)); n != MinSize || err != nil {
		t.Errorf("read %d, %v", n, err)
	}
	if _, err := buffer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read of an empty buffer: %v", err)
	}
}

// TestLongMessageIsCopiedFewTimes guards against buffers that grow in small steps and copy all that was received at each
// of them, which took most of the processor time when clients sent messages of 1 MiB (review/6).
func TestLongMessageIsCopiedFewTimes(t *testing.T) {
	const length = 1 << 20
	buffer := New(length)
	source := bytes.NewReader(make([]byte, length))
	allocated, size := 0, 0
	for buffer.Len() < length {
		buffer.Expect(length)
		if err := buffer.Fill(source); err != nil {
			t.Fatal(err)
		}
		if buffer.Size() != size {
			size = buffer.Size()
			allocated += size
		}
		if size > max(MinSize, 2*buffer.Len()) {
			t.Fatalf("%d bytes of memory for %d received", size, buffer.Len())
		}
	}
	if size != length || allocated > 2*length {
		t.Errorf("%d bytes of memory, %d in all steps", size, allocated)
	}
}
