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
	errChecksum = errors.New("a checksum is wrong")
	errShort    = errors.New("the data is shorter than its length fields say")
)

// crc extends the CRC-32C checksum sum by b. The table is created at the first call, because a router without a copy
// needs none.
func crc(sum uint32, b []byte) uint32 { return crc32.Update(sum, crc32.MakeTable(crc32.Castagnoli), b) }

// fileHeader describes the copy in a file. It is written with each batch.
type fileHeader struct {
	format        uint16
	cluster, name string
	epoch         uint64 // of the process that wrote the header
	generation    uint64 // batches since the copy was created, over all processes
	writtenAt     int64  // Unix time in nanoseconds
	dropped       uint64 // records that this process could not store or had to evict
	checksumSum   uint64 // sum of the record checksums: detects a valid page that belongs to another batch
}

// appendChecksum appends a checksum; trimChecksum verifies and removes it.
func appendChecksum(raw []byte) []byte {
	return binary.LittleEndian.AppendUint32(raw, crc(0, raw))
}

func trimChecksum(raw []byte) ([]byte, error) {
	if len(raw) < 4 {
		return nil, errShort
	}
	body := raw[:len(raw)-4]
	if binary.LittleEndian.Uint32(raw[len(body):]) != crc(0, body) {
		return nil, errChecksum
	}
	return body, nil
}

func (h *fileHeader) append(out []byte) []byte {
	out = binary.LittleEndian.AppendUint16(append(out, magic...), h.format)
	for _, text := range []string{h.cluster, h.name} {
		out = append(append(out, byte(len(text))), text...)
	}
	for _, number := range []uint64{h.epoch, h.generation, uint64(h.writtenAt), h.dropped, h.checksumSum} {
		out = binary.LittleEndian.AppendUint64(out, number)
	}
	return appendChecksum(out)
}

// parseHeader decodes a header. If the format is newer than this release, only the format number is decoded.
func parseHeader(raw []byte) (header fileHeader, err error) {
	rest, err := trimChecksum(raw)
	if err != nil {
		return header, err
	}
	if len(rest) < len(magic)+2 || string(rest[:len(magic)]) != magic {
		return header, errors.New("the header has a wrong magic number")
	}
	rest = rest[len(magic):]
	if header.format = binary.LittleEndian.Uint16(rest); header.format > format {
		return header, nil
	}
	rest = rest[2:]
	for _, text := range []*string{&header.cluster, &header.name} {
		if len(rest) == 0 || len(rest) <= int(rest[0]) {
			return header, errShort
		}
		*text, rest = string(rest[1:1+rest[0]]), rest[1+int(rest[0]):]
	}
	if len(rest) != 40 {
		return header, errShort
	}
	header.epoch, header.generation = binary.LittleEndian.Uint64(rest), binary.LittleEndian.Uint64(rest[8:])
	header.writtenAt, header.dropped = int64(binary.LittleEndian.Uint64(rest[16:])), binary.LittleEndian.Uint64(rest[24:])
	header.checksumSum = binary.LittleEndian.Uint64(rest[32:])
	return header, nil
}

// recordKey returns a record's key in the database.
func recordKey(record *persistence.Record) []byte { return append([]byte{record.Kind}, record.Key...) }

// encodeRecord returns a record's value in the database: the wall-clock time of the write, the record's age at that
// time, its own value, and a checksum over these and the key.
func encodeRecord(record *persistence.Record, writtenAt int64) []byte {
	out := make([]byte, 0, 20+len(record.Value))
	out = binary.LittleEndian.AppendUint64(out, uint64(writtenAt))
	out = binary.LittleEndian.AppendUint64(out, uint64(record.Age))
	out = append(out, record.Value...)
	return binary.LittleEndian.AppendUint32(out, crc(crc(0, out), recordKey(record)))
}

// storedChecksum returns the checksum at the end of an encoded record. The header stores the sum of these.
func storedChecksum(value []byte) uint64 {
	if len(value) < 4 {
		return 0
	}
	return uint64(binary.LittleEndian.Uint32(value[len(value)-4:]))
}

// parseRecord decodes a record and the wall-clock time at which it was written. The returned record is a copy.
func parseRecord(key, value []byte) (record persistence.Record, writtenAt int64, err error) {
	if len(key) < 1 || len(value) < 20 {
		return record, 0, errShort
	}
	body := value[:len(value)-4]
	if crc(crc(0, body), key) != binary.LittleEndian.Uint32(value[len(body):]) {
		return record, 0, errChecksum
	}
	writtenAt = int64(binary.LittleEndian.Uint64(body))
	return persistence.Record{Kind: key[0], Key: append([]byte(nil), key[1:]...), Value: append([]byte(nil), body[16:]...),
		Age: int64(binary.LittleEndian.Uint64(body[8:]))}, writtenAt, nil
}
