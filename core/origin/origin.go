// Package origin identifies the software that began a stream.
//
// What two versions of a target's software generate does not fit together, so a stream may be
// continued only by the version that began it. Where the version is unknown, only the run of the
// target that began the stream may continue it.
package origin

import "almondseam.dev/core/api"

// Origin is the software that begins streams at a target. The zero value stands for software of which
// nothing is known.
type Origin struct {
	Service  api.ServiceID       `cbor:"1,keyasint,omitempty"`
	Software api.SoftwareVersion `cbor:"2,keyasint,omitempty"`
	// Target and Born identify the run of the target if the software version is unknown, and are zero
	// otherwise.
	Target api.TargetID `cbor:"3,keyasint,omitempty"`
	Born   int64        `cbor:"4,keyasint,omitempty"`
}

// Of returns the origin of streams that begin at a run of a target. The software version may be
// unknown, and born zero if the target does not state the start of its runs.
func Of(service api.ServiceID, software api.SoftwareVersion, target api.TargetID, born int64) Origin {
	switch {
	case software != "":
		return Origin{Service: service, Software: software}
	case born != 0:
		return Origin{Service: service, Target: target, Born: born}
	}
	return Origin{Service: service}
}

// Known reports whether the origin identifies software.
func (o Origin) Known() bool { return o.Software != "" || o.Born != 0 }

// OfRun returns the origin of streams that begin at a run of a target whose software version is not
// known yet.
func OfRun(service api.ServiceID, target api.TargetID, born int64) Origin {
	return Of(service, "", target, born)
}

// IsRun reports whether the origin is a given run of a target.
func (o Origin) IsRun(target api.TargetID, born int64) bool {
	return o.Software == "" && o.Born != 0 && o.Target == target && o.Born == born
}

// Allows reports whether a stream of this origin may be continued at a target whose own streams are
// of the given origin.
func (o Origin) Allows(target Origin) bool { return o.Known() && o == target }
