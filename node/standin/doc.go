// Package standin is a small stand-in for a model engine. Engine is the pure
// stepped core: continuous batching, block memory that can run out in the
// middle of decoding and preempts with recompute, a prefix cache with eviction,
// priorities, cache events that come late and with gaps, and load reports with
// a lag. Measurements drive it in virtual time; Server serves the same core
// over HTTP in wall time.
package standin
