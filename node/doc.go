// Package node holds the adapters and the wiring of the processes; the
// decisions are in the core module, which imports nothing from here.
package node
