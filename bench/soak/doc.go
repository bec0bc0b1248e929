// Soak runs the real programs as separate processes on loopback, brings about faults
// from outside them, and checks while they run what callers, targets and operators
// were promised. Everything follows from a seed but the timing of the machine.
//
// Each process has a loopback address of its own. What others dial is a forwarder,
// which delays, resets, silences or cuts what goes through it; behind it listens the
// process. Faults of processes are signals; a control member may also lose its
// disk. Clocks are left alone: the machine has but one.
//
//	go build -o bin/ ./cmd/almondseam
//	go run ./bench/soak --binary bin/almondseam --seed 1 --seeds 50
package main
