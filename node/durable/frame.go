package durable

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is the unit of writing: each File.Write writes one frame. It consists
// of, in little-endian order,
//
//	magic u32 | length of the payload u32 | checksum u32 | synced u64 | payload
//
// The checksum (CRC-32C) covers all the other fields, and also the file's number
// and the frame's offset, so that bytes from another file or offset are never
// accepted as a frame. The file's number is the sequence number of a segment, the
// index of a snapshot, or 0 for the identity file. The synced field is the length
// of the file that was durable when the frame was written; see wasDurable.
const (
	frameMagic      = 0x4d4c4146
	frameHeaderSize = 20
	maxFramePayload = 80 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func frameChecksum(b []byte, file, offset uint64) uint32 {
	var location [16]byte
	binary.LittleEndian.PutUint64(location[:], file)
	binary.LittleEndian.PutUint64(location[8:], offset)
	sum := crc32.Update(0, castagnoli, location[:])
	sum = crc32.Update(sum, castagnoli, b[:8])
	return crc32.Update(sum, castagnoli, b[12:])
}

// appendFrame appends a frame to buf. The offset is the frame's position in the
// file, which may differ from its position in buf.
func appendFrame(buf []byte, file, offset, synced uint64, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, frameMagic)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	buf = binary.LittleEndian.AppendUint64(buf, synced)
	buf = append(buf, payload...)
	binary.LittleEndian.PutUint32(buf[start+8:], frameChecksum(buf[start:], file, offset))
	return buf
}

// frame is a frame read back from a file.
type frame struct {
	synced  uint64
	payload []byte
	size    uint64 // including the header
}

// readFrame returns the frame at offset in b, the content of the given file. It
// returns false if there is no complete frame with a valid checksum.
func readFrame(b []byte, file, offset uint64) (frame, bool) {
	if offset > uint64(len(b)) || uint64(len(b))-offset < frameHeaderSize {
		return frame{}, false
	}
	b = b[offset:]
	if binary.LittleEndian.Uint32(b) != frameMagic {
		return frame{}, false
	}
	length := uint64(binary.LittleEndian.Uint32(b[4:]))
	if length > maxFramePayload || length > uint64(len(b))-frameHeaderSize {
		return frame{}, false
	}
	b = b[:frameHeaderSize+length]
	if binary.LittleEndian.Uint32(b[8:]) != frameChecksum(b, file, offset) {
		return frame{}, false
	}
	return frame{synced: binary.LittleEndian.Uint64(b[12:]), payload: b[frameHeaderSize:], size: uint64(len(b))}, true
}

// wasDurable reports whether the bytes at offset, which do not form a valid frame,
// had been durable before. That is so if a later frame has a synced field beyond
// offset. If no later frame has, the bytes are the remains of unconfirmed writes,
// which a disk may store in any order before a crash, and they can be cut off.
//
// One kind of damage goes undetected: if frames of the last sync are damaged and
// no frame was written after that sync, they look like the remains of a crash and
// are cut off.
func wasDurable(b []byte, file, offset uint64) bool {
	for at := offset + 1; at+frameHeaderSize <= uint64(len(b)); at++ {
		if f, ok := readFrame(b, file, at); ok && f.synced > offset {
			return true
		}
	}
	return false
}
