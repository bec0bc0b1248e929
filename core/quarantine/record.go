package quarantine

import (
	"cmp"
	"slices"

	"almondseam.dev/core/api"
)

// Run is a run of a request that ended with the crash of its target.
type Run struct {
	Target api.TargetID `cbor:"1,keyasint"`
	Born   int64        `cbor:"2,keyasint,omitempty"`
	// At is the time of the crash in milliseconds of the table's clock.
	At         int64 `cbor:"3,keyasint"`
	InProgress int64 `cbor:"4,keyasint,omitempty"`
	// Share is the share of the targets, in thousandths, at which one reporter had requests with the
	// part in progress when the target crashed; zero for a request.
	Share int64 `cbor:"5,keyasint,omitempty"`
}

// Record is what is known of a request, or of a part of prompts, that was in progress at crashes.
type Record struct {
	Fingerprint Fingerprint    `cbor:"1,keyasint"`
	Customer    api.CustomerID `cbor:"2,keyasint,omitempty"`
	URI         string         `cbor:"3,keyasint,omitempty"`
	BodyBytes   int            `cbor:"4,keyasint,omitempty"`
	Service     api.ServiceID  `cbor:"5,keyasint,omitempty"`
	// Runs holds the latest runs that ended with a crash, in the order of the crashes.
	Runs []Run `cbor:"6,keyasint,omitempty"`
	// Until is when the quarantine ends, in milliseconds of the table's clock; zero if the request
	// is not quarantined.
	Until int64 `cbor:"7,keyasint,omitempty"`
	// Times counts how often the request was quarantined. After the first time, one crash
	// suffices, until Probation.
	Times     int   `cbor:"8,keyasint,omitempty"`
	Probation int64 `cbor:"9,keyasint,omitempty"`
	// Part is the ID of the part of prompts; empty for a request.
	Part string `cbor:"10,keyasint,omitempty"`
	// With holds the parts that were in progress at the same crashes as this one, so that it is not
	// known which of them causes the crashes: only requests with all of them are refused.
	With []Fingerprint `cbor:"11,keyasint,omitempty"`
}

// IsPart reports whether the record is of a part of prompts.
func (r *Record) IsPart() bool { return r.Part != "" }

// Quarantined reports whether the request, or requests with the part, are refused.
func (r *Record) Quarantined() bool { return r.Until != 0 }

func (r *Record) clone() Record {
	c := *r
	c.Runs, c.With = slices.Clone(r.Runs), slices.Clone(r.With)
	return c
}

// crashID identifies a crash.
type crashID struct {
	target api.TargetID
	born   int64
}

func (r Run) id() crashID { return crashID{r.Target, r.Born} }

// addRun adds a run. Of several runs at the same crash the longest counts.
func (r *Record) addRun(run Run) {
	for i := range r.Runs {
		if known := &r.Runs[i]; known.Target == run.Target && known.Born == run.Born {
			known.InProgress, known.Share = max(known.InProgress, run.InProgress), max(known.Share, run.Share)
			return
		}
	}
	if len(r.Runs) >= maxRuns {
		r.Runs = slices.Delete(r.Runs, 0, 1)
	}
	r.Runs = append(r.Runs, run)
	slices.SortStableFunc(r.Runs, func(a, b Run) int { return cmp.Compare(a.At, b.At) })
}

func (r *Record) lastCrash() int64 {
	if len(r.Runs) == 0 {
		return 0
	}
	return r.Runs[len(r.Runs)-1].At
}

// spread returns the mean share of the targets at which requests with the part were in progress when
// the targets of the given runs crashed.
func (r *Record) spread(runs []Run) float64 {
	sum := int64(0)
	for _, run := range runs {
		sum += run.Share
	}
	return float64(sum) / float64(1000*max(len(runs), 1))
}

func (r *Record) inProgress(runs []Run) (sum int64) {
	for _, run := range runs {
		sum += run.InProgress
	}
	return sum
}
