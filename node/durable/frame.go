package durable

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is what one Write puts into a file:
//
//	magic u32 | length of the payload u32 | checksum u32 | synced u64 | payload
//
// in little-endian order. The checksum (CRC-32C) covers everything else, and in
// addition the file's number and the frame's offset, so that bytes of another
// file or place never pass for a frame. Synced is the length of the file that
// was durable when the frame was written; see tail.
const (
	frameMagic      = 0x4d4c4146
	frameHeader     = 20
	maxFramePayload = 80 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func frameSum(b []byte, file, offset uint64) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], file)
	binary.LittleEndian.PutUint64(place[8:], offset)
	sum := crc32.Update(0, castagnoli, place[:])
	sum = crc32.Update(sum, castagnoli, b[:8])
	return crc32.Update(sum, castagnoli, b[12:])
}

// appendFrame puts a frame at the end of buf; offset is where it will lie.
func appendFrame(buf []byte, file, offset, synced uint64, payload []byte) []byte {
	at := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, frameMagic)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	buf = binary.LittleEndian.AppendUint64(buf, synced)
	buf = append(buf, payload...)
	binary.LittleEndian.PutUint32(buf[at+8:], frameSum(buf[at:], file, offset))
	return buf
}

// frame is one that was read back.
type frame struct {
	synced  uint64
	payload []byte
	size    uint64 // with its header
}

// readFrame reads the frame at offset of the file's bytes; false if there is no
// whole and true one.
func readFrame(b []byte, file, offset uint64) (frame, bool) {
	if offset > uint64(len(b)) || uint64(len(b))-offset < frameHeader {
		return frame{}, false
	}
	b = b[offset:]
	if binary.LittleEndian.Uint32(b) != frameMagic {
		return frame{}, false
	}
	length := uint64(binary.LittleEndian.Uint32(b[4:]))
	if length > maxFramePayload || length > uint64(len(b))-frameHeader {
		return frame{}, false
	}
	b = b[:frameHeader+length]
	if binary.LittleEndian.Uint32(b[8:]) != frameSum(b, file, offset) {
		return frame{}, false
	}
	return frame{synced: binary.LittleEndian.Uint64(b[12:]), payload: b[frameHeader:], size: uint64(len(b))}, true
}

// onceDurable tells whether the bytes at offset, which are no frame, had been
// durable before: a later frame says that it was written when they were. Without
// such a frame they are what a crash left of writes that were never confirmed,
// in whatever order the disk took them, and may be cut.
//
// What remains: damage to the very last confirmed frame looks like a crash and
// is cut. Nothing written after it can tell.
func onceDurable(b []byte, file, offset uint64) bool {
	for at := offset + 1; at+frameHeader <= uint64(len(b)); at++ {
		if f, ok := readFrame(b, file, at); ok && f.synced > offset {
			return true
		}
	}
	return false
}
