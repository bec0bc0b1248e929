package state

import (
	"fmt"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
)

func claimCommand(n int) Command {
	key := claim.Key{Customer: api.CustomerID(fmt.Sprint("c", n%64)), Name: fmt.Sprintf("0194a2b3-%08d", n)}
	return Command{Now: int64(n), Claim: &claim.Request{
		Key: key, Digest: claim.Digest{byte(n)}, Place: claim.Place{Target: "booking-1", Incarnation: 1796257256035},
		Claimant: "01M8WM390SHSN12R0K8M9H4SG9/1", Request: "01M8WM390SHSN12R0K8M9H4SG9",
	}}
}

// fullState returns a state with the maximum number of claims.
func fullState(b *testing.B) *State {
	l := newLog(b)
	for n := range DefaultLimits().Claim.MaxClaims {
		if r := l.apply(claimCommand(n)); r.Claim.Verdict != claim.Granted {
			b.Fatalf("claim %d: %v", n, r.Claim.Verdict)
		}
	}
	return l.s
}

// BenchmarkFreeze measures how long a member cannot apply commands while the state
// with a full claims table is copied for a snapshot.
func BenchmarkFreeze(b *testing.B) {
	s := fullState(b)
	for b.Loop() {
		s.Freeze()
	}
}

// BenchmarkSnapshot measures copying and encoding a full claims table, and reports
// the size of the snapshot.
func BenchmarkSnapshot(b *testing.B) {
	s := fullState(b)
	for b.Loop() {
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

// BenchmarkRestore measures restoring a snapshot of a full claims table.
func BenchmarkRestore(b *testing.B) {
	data, err := fullState(b).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Restore(DefaultLimits(), data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApplyClaim measures encoding, decoding and granting one claim.
func BenchmarkApplyClaim(b *testing.B) {
	l := DefaultLimits()
	l.Claim.MaxClaims, l.Claim.MaxPerCustomer = 1<<30, 1<<30
	s := New(l)
	n := 0
	for b.Loop() {
		data, err := Encode(claimCommand(n))
		if err != nil {
			b.Fatal(err)
		}
		n++
		s.Apply(uint64(n), data)
	}
}
