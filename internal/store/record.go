package store

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"lotushook/policy/persistence"
)

const (
	format        = 1
	magic         = "lotushook keep\n"
	maxNameBytes  = 255
	maxKeyBytes   = 1 << 12
	maxValueBytes = 1 << 16
)

var (
	errSum   = errors.New("a checksum is wrong")
	errShort = errors.New("a record is shorter than it says")
)

// sum goes on with a checksum. Its table is made at the first call: a router without a copy has none.
func sum(so uint32, b []byte) uint32 { return crc32.Update(so, crc32.MakeTable(crc32.Castagnoli), b) }

// head is what a copy says of itself. It is written with each batch.
type head struct {
	format        uint16
	cluster, name string
	boot          uint64 // of the process that wrote it
	generation    uint64 // batches since the copy was begun, over all boots
	wall          int64  // Unix time when it was written, in nanoseconds
	letGo         uint64 // records that boot could not keep
	sum           uint64 // over all records: a page that is of another batch is noticed, though all in it is sound
}

// sealed adds a checksum; opened takes it off again.
func sealed(raw []byte) []byte {
	return binary.LittleEndian.AppendUint32(raw, sum(0, raw))
}

func opened(raw []byte) ([]byte, error) {
	if len(raw) < 4 {
		return nil, errShort
	}
	body := raw[:len(raw)-4]
	if binary.LittleEndian.Uint32(raw[len(body):]) != sum(0, body) {
		return nil, errSum
	}
	return body, nil
}

func (h *head) append(out []byte) []byte {
	out = binary.LittleEndian.AppendUint16(append(out, magic...), h.format)
	for _, text := range []string{h.cluster, h.name} {
		out = append(append(out, byte(len(text))), text...)
	}
	for _, n := range []uint64{h.boot, h.generation, uint64(h.wall), h.letGo, h.sum} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return sealed(out)
}

// parseHead reads a head; of a later format only which one it is.
func parseHead(raw []byte) (h head, err error) {
	b, err := opened(raw)
	if err != nil {
		return h, err
	}
	if len(b) < len(magic)+2 || string(b[:len(magic)]) != magic {
		return h, errors.New("the head is not one")
	}
	b = b[len(magic):]
	if h.format = binary.LittleEndian.Uint16(b); h.format > format {
		return h, nil
	}
	b = b[2:]
	for _, text := range []*string{&h.cluster, &h.name} {
		if len(b) == 0 || len(b) <= int(b[0]) {
			return h, errShort
		}
		*text, b = string(b[1:1+b[0]]), b[1+int(b[0]):]
	}
	if len(b) != 40 {
		return h, errShort
	}
	h.boot, h.generation = binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])
	h.wall, h.letGo = int64(binary.LittleEndian.Uint64(b[16:])), binary.LittleEndian.Uint64(b[24:])
	h.sum = binary.LittleEndian.Uint64(b[32:])
	return h, nil
}

// key is a record's key in the store; appendRecord is its value: the wall's clock when it was written, its age then, its own
// value, and a checksum over these and the key.
func key(r *persistence.Record) []byte { return append([]byte{r.Kind}, r.Key...) }

func appendRecord(r *persistence.Record, wall int64) []byte {
	out := make([]byte, 0, 20+len(r.Value))
	out = binary.LittleEndian.AppendUint64(out, uint64(wall))
	out = binary.LittleEndian.AppendUint64(out, uint64(r.Age))
	out = append(out, r.Value...)
	return binary.LittleEndian.AppendUint32(out, sum(sum(0, out), key(r)))
}

// sumOf is a record's part of the sum in the head.
func sumOf(v []byte) uint64 {
	if len(v) < 4 {
		return 0
	}
	return uint64(binary.LittleEndian.Uint32(v[len(v)-4:]))
}

// parseRecord reads a record that was written at a wall's time. What it returns is a copy.
func parseRecord(k, v []byte) (r persistence.Record, wall int64, err error) {
	if len(k) < 1 || len(v) < 20 {
		return r, 0, errShort
	}
	body := v[:len(v)-4]
	if sum(sum(0, body), k) != binary.LittleEndian.Uint32(v[len(body):]) {
		return r, 0, errSum
	}
	wall = int64(binary.LittleEndian.Uint64(body))
	return persistence.Record{Kind: k[0], Key: append([]byte(nil), k[1:]...), Value: append([]byte(nil), body[16:]...),
		Age: int64(binary.LittleEndian.Uint64(body[8:]))}, wall, nil
}
