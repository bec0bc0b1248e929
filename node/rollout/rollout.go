// Package rollout carries accepted configurations to every process and puts
// them in force by the rules of core/rollout.
//
// An Entry takes them from the control group and passes them on through its
// Hub; an Agent follows one of the entries that it is linked to. The control
// group thus speaks to entries alone. All types are safe for concurrent use.
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

// Observer hears what becomes of configurations. Its methods are called with
// locks held: they must not block, nor call back.
type Observer interface {
	// Stepped tells what was made of a message.
	Stepped(e rollout.Event)
	// InForce tells that a revision is in force in this process.
	InForce(rev api.Revision, site api.Site)
	// Unusable tells of a configuration that could not be read or compiled.
	Unusable(rev api.Revision, err error)
	// Sent counts what was sent on: "delta" or "whole".
	Sent(what string)
	// Followers tells how many agents follow this entry.
	Followers(n int)
	// Switched tells that an agent took another entry to follow, and why.
	Switched(why string)
}

// EventDropped: a message found the agent's inbox full.
const EventDropped rollout.Event = "dropped"

// What Observer.Sent counts.
const (
	SentDelta = "delta"
	SentWhole = "whole"
)

// Why an agent takes another entry to follow.
const (
	SwitchedLink    = "link"
	SwitchedSilence = "silence"
)

type noObserver struct{}

func (noObserver) Stepped(rollout.Event)          {}
func (noObserver) InForce(api.Revision, api.Site) {}
func (noObserver) Unusable(api.Revision, error)   {}
func (noObserver) Sent(string)                    {}
func (noObserver) Followers(int)                  {}
func (noObserver) Switched(string)                {}

// applier puts documents in force in this process. Its owner's lock guards it.
type applier struct {
	node *rollout.Node
	zone api.Zone
	live *fleetconfig.Live
	obs  Observer
}

// step gives a message to the rules and does what they say of this process.
func (a *applier) step(m rollout.Message) rollout.Ready {
	r := a.node.Step(time.Now(), m)
	a.obs.Stepped(r.Event)
	if r.Publish != nil && !a.publish(r.Publish) {
		r.Publish = nil
		r.Applied = 0
	}
	return r
}

// publish compiles a document and puts it in force. A document that this
// process cannot compile, as one of a newer version may be, leaves the last one
// in force: serving nothing would cut callers off for a change that may not
// concern them. The process then shows as lagging in its site's revision.
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

// inForce gives what this process reports.
func (a *applier) inForce() (api.Revision, api.Site) {
	snap := a.live.Load()
	if snap == nil {
		return 0, ""
	}
	return snap.Revision, snap.Site
}
