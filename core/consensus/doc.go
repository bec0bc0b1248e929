// Package consensus is the project's own Raft-shaped agreement as a pure state
// machine: no sockets, files, clocks or goroutines. The caller feeds it ticks,
// messages and proposals, and takes out batches of work with Ready.
//
// One goroutine drives a Node, in this order:
//
//	for {
//		// wait for a tick, a message or a proposal; call Tick, Step, Propose …
//		for node.HasReady() {
//			rd := node.Ready()
//			// 0. rd.Early (if Config.EarlySend is set): send them, or later
//			// 1. rd.Snapshot (if any): save it durably, then load it into the state machine
//			// 2. rd.HardState and rd.Entries: save them durably (when rd.MustSync, fsync first)
//			// 3. rd.Messages: send them
//			// 4. rd.Committed: apply in order
//			// 5. rd.Reads: answer each once its Index has been applied
//			node.Advance()
//		}
//	}
//
// No other message of a Ready may be sent before all of it is durable: a vote or an
// acknowledgement that a crash can take back lets two leaders win one term, or
// loses an entry that was counted as committed. A Node is not safe for
// concurrent use.
package consensus
