package entry

import (
	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// SetDrains takes the targets that operators drain, with the incarnation that
// is meant, 0 for whichever runs. Each linked agent that is meant is told; one
// that links later is told when it announces itself.
func (e *Entry) SetDrains(drains map[api.TargetID]api.Incarnation) {
	e.drains.Store(&drains)
	for _, p := range e.peers.all() {
		e.drain(p)
	}
}

// drain tells an agent to leave if an operator wants it. SetDrains stores the
// list before it looks at the peers, and an announcement puts the peer before it
// looks at the list, so one of the two always finds the other. An agent that
// missed the message with its link is told again when it announces itself anew.
func (e *Entry) drain(p *peer) {
	drains := e.drains.Load()
	if drains == nil || p.leaving.Load() {
		return
	}
	if inc, meant := (*drains)[p.target]; meant && (inc == 0 || inc == p.inc) {
		_ = p.to.Send(&wire.Drain{Incarnation: p.inc})
	}
}

// SetEvacuated takes the availability zones that operators have evacuated: their targets get
// nothing new from now on, and go on with what they have.
func (e *Entry) SetEvacuated(zones []api.Zone) { e.evacuated.Store(&zones) }

func (e *Entry) evacuatedZones() []api.Zone {
	zones := e.evacuated.Load()
	if zones == nil {
		return nil
	}
	return *zones
}
