package handoff

import "time"

// Notice is how long migrations may rely on an engine to keep working after it has
// announced that it drains. Engines are reclaimed 1.5 s after their notice at the earliest,
// and stopping the last run takes part of that.
const Notice = 1300 * time.Millisecond

const (
	// fillWithMigration is the fraction of its memory up to which an engine receives
	// standby copies where engines migrate runs on demand. Up to this fraction the
	// copies displace no request.
	fillWithMigration = 0.3
	// fillWithoutMigration is the fraction where engines do not migrate runs, so that a
	// stream can only be continued from a standby copy.
	fillWithoutMigration = 0.85
	// maxFleetFill is the fraction of the memory of all engines in use up to which
	// engines that migrate runs on demand receive standby copies.
	maxFleetFill = 0.55
)

// StandbyFill returns the fraction of its memory up to which an engine receives one more
// standby copy of a stream that runs on another engine; zero means none. moves tells
// whether engines migrate runs on demand, and fleet is the fraction of the memory of all
// engines that is in use.
//
// Load pattern: engines are two thirds full, and a sixth of them is reclaimed every few
// seconds. Standby copies double the memory that streams occupy, so that new requests wait
// for memory, and the traffic of the copies delays the migrations of runs from draining
// engines. An engine that has just started is empty, but waiting requests need its memory.
// In a fleet with free memory, copies on nearly empty engines preserve the streams of
// engines that crash.
func StandbyFill(moves bool, fleet float64) float64 {
	switch {
	case !moves:
		return fillWithoutMigration
	case fleet > maxFleetFill:
		return 0
	}
	return fillWithMigration
}

// moveOverhead is the time that a migration takes in addition to the first copy of the run:
// copying the tokens generated meanwhile, obtaining the retry from the retry budget, and
// the last copy after the run was stopped.
const moveOverhead = 50 * time.Millisecond

// MoveTime returns the estimated time to migrate the given number of runs, which hold the
// given number of tokens in total, at rate tokens a second; zero if the rate is not known.
//
// Load pattern: an engine drains, and several entries migrate its runs one after the other.
// Each entry starts after the estimated duration of the migrations before its own. A first
// copy that starts too early is transferred ahead of the last copy of a run that has been
// stopped, and the caller of that run sees a pause as long as the whole first copy.
func MoveTime(tokens, runs int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens)/rate*float64(time.Second)) + time.Duration(runs)*moveOverhead
}
