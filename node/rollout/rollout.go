// Package rollout distributes accepted configurations to every process and puts
// them in force by the rules of core/rollout.
//
// An Entry receives configurations from the control group and forwards them
// through its Hub to the agents that follow it. An Agent follows one of the
// entries that it is linked to, so the control group only has to send to entries.
// All types are safe for concurrent use.
package rollout

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/rollout"
	"almondseam.dev/node/wire"
)

// Sender is the sending side of a link. Send does not block; an error means
// that the link has ended.
type Sender interface {
	Send(m wire.Message) error
}

// Observer is notified of how configurations are handled. Its methods may be
// called with locks held, so they must not block or call back into this package.
type Observer interface {
	// Stepped reports how a message was handled.
	Stepped(e rollout.Event)
	// InForce reports that a revision has been put in force in this process.
	InForce(rev api.Revision, site api.Site)
	// Unusable reports a configuration that could not be encoded, decoded or
	// compiled. The revision is zero if it is unknown.
	Unusable(rev api.Revision, err error)
	// Sent reports that an entry sent a delta (SentDelta) or a whole document
	// (SentWhole) to one agent.
	Sent(what string)
	// Followers reports the number of agents that follow this entry.
	Followers(n int)
	// Switched reports that an agent switches to another entry, and the reason:
	// SwitchedLink or SwitchedSilence.
	Switched(why string)
}

// EventDropped: a message was dropped because the agent's inbox was full.
const EventDropped rollout.Event = "dropped"

// The forms of a configuration that Observer.Sent reports.
const (
	SentDelta = "delta"
	SentWhole = "whole"
)

// The reasons for which an agent switches to another entry.
const (
	// SwitchedLink: the link to the followed entry ended.
	SwitchedLink = "link"
	// SwitchedSilence: the followed entry sent nothing for several intervals.
	SwitchedSilence = "silence"
)

type nopObserver struct{}

func (nopObserver) Stepped(rollout.Event)          {}
func (nopObserver) InForce(api.Revision, api.Site) {}
func (nopObserver) Unusable(api.Revision, error)   {}
func (nopObserver) Sent(string)                    {}
func (nopObserver) Followers(int)                  {}
func (nopObserver) Switched(string)                {}

// applier puts documents in force in this process. The lock of the Entry or Agent
// that contains it guards it.
type applier struct {
	node *rollout.Node
	zone api.Zone
	live *fleetconfig.Live
	obs  Observer
}

// step passes a message to the node and puts the document in force that the node
// releases, if any. The result tells the caller what remains to be sent.
func (a *applier) step(m rollout.Message) rollout.Ready {
	r := a.node.Step(time.Now(), m)
	a.obs.Stepped(r.Event)
	if r.Publish != nil && !a.publish(r.Publish) {
		r.Publish = nil
		r.Applied = 0
	}
	return r
}

// publish compiles a document and puts it in force. It returns false if the document
// cannot be compiled, for example because it was written for a newer version. The
// previous document then stays in force, because serving nothing would cut off callers
// whom the change may not concern, and the process is reported at the old revision.
func (a *applier) publish(doc *fleetconfig.Document) bool {
	site, _ := doc.SiteOf(a.zone)
	snap, err := doc.Snapshot(site)
	if err != nil {
		a.obs.Unusable(doc.Revision, err)
		return false
	}
	if a.live.Publish(snap) {
		a.obs.InForce(doc.Revision, site)
	}
	return true
}

// inForce returns the revision and the site in force, zero values before the first.
func (a *applier) inForce() (api.Revision, api.Site) {
	snap := a.live.Load()
	if snap == nil {
		return 0, ""
	}
	return snap.Revision, snap.Site
}
