// Package standin simulates a model engine. Engine is a deterministic simulation
// that advances in steps and has no clock: it models continuous batching, KV cache
// blocks that can run out during decoding, preemption with recomputation, a prefix
// cache with eviction, priorities, cache events that are delayed and partly lost,
// and delayed load reports. Benchmarks run Engine in virtual time; Server serves it
// over HTTP in wall-clock time.
package standin
