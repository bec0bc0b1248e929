package directory

import (
	"crypto/sha256"
	"encoding/hex"

	"almondseam.dev/core/api"
)

// maxSoftwareVersion is the length, in bytes, up to which a stated version is kept as it is. A
// longer one is replaced by its hash, so that equal versions stay equal and records stay small.
const maxSoftwareVersion = 64

// SoftwareVersion returns the version of a target's software for a version that the target states.
func SoftwareVersion(stated string) api.SoftwareVersion {
	if len(stated) <= maxSoftwareVersion {
		return api.SoftwareVersion(stated)
	}
	sum := sha256.Sum256([]byte(stated))
	return api.SoftwareVersion(hex.EncodeToString(sum[:]))
}

// inheritSoftware returns next with the software version of known, an earlier record of the same
// run, if next does not state it.
func inheritSoftware(next, known Record) Record {
	if next.Software == "" && next.Born != 0 && next.Born == known.Born {
		next.Software = known.Software
	}
	return next
}

// statesSoftware reports whether next, which repeats the known statement of a run, adds its software
// version. A process of an earlier version of this system passes records on without it.
func statesSoftware(next, known Record) bool {
	return next.Software != "" && known.Software == "" && next.Born != 0 && next.Born == known.Born &&
		next.Sequence == known.Sequence && next.State == known.State
}

// contradicts reports whether a statement that does not replace the known one shows that the known
// software version may be wrong: where a target does not state the start of its run, the statement
// may be of a later run with other software, whose sequence begins anew.
func contradicts(stale, known Record) bool {
	return known.State != StateGone && known.Software != "" && stale.Software != known.Software && (stale.Born == 0 || known.Born == 0)
}

// doubtSoftware forgets the software version of a target if a statement that does not replace the
// known one contradicts it. It returns the record if that changed it.
func (t *trackedTarget) doubtSoftware(stale Record) []Record {
	if !contradicts(stale, t.record) {
		return nil
	}
	t.record.Software = ""
	return []Record{t.record}
}
