// Package consensus implements the Raft consensus algorithm as a deterministic
// state machine that uses no sockets, files, clocks or goroutines. The caller
// passes in ticks, messages and proposals, and retrieves batches of work with
// Ready.
//
// A single goroutine drives a Node, in this order:
//
//	for {
//		// wait for a tick, a message or a proposal; call Tick, Step, Propose …
//		for node.HasReady() {
//			rd := node.Ready()
//			// 0. rd.Early (only with Config.EarlySend): send them now or at any later step
//			// 1. rd.Snapshot (if any): save it durably, then load it into the state machine
//			// 2. rd.HardState and rd.Entries: save them durably (when rd.MustSync, fsync first)
//			// 3. rd.Messages: send them
//			// 4. rd.Committed: apply in order
//			// 5. rd.Reads: answer each once its Index has been applied
//			node.Advance()
//		}
//	}
//
// Apart from rd.Early, no message of a Ready may be sent before its Snapshot,
// HardState and Entries are durable. If a crash could undo a vote that was sent,
// two leaders could win the same term; if it could undo an acknowledgement, an
// entry that was counted as committed could be lost. A Node is not safe for
// concurrent use.
package consensus
