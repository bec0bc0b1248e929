package entry

import (
	"almondseam.dev/core/api"
	"almondseam.dev/node/wire"
)

// SetDrains sets the targets that operators drain. The value is the incarnation to
// drain, 0 for any. The entry sends a drain message to each of these targets that
// is linked now, and to others when they link and announce themselves.
func (e *Entry) SetDrains(drains map[api.TargetID]api.Incarnation) {
	e.drains.Store(&drains)
	for _, p := range e.peers.all() {
		e.sendDrain(p)
	}
}

// sendDrain tells an agent to leave if an operator drains its target. SetDrains
// stores the list before it reads the table of peers, and an announcement adds the
// peer to the table before it reads the list, so at least one of the two finds the
// other. An agent that missed the message because its link was lost gets it again
// when it next announces itself.
func (e *Entry) sendDrain(p *peer) {
	drains := e.drains.Load()
	if drains == nil || p.leaving.Load() {
		return
	}
	if inc, drain := (*drains)[p.target]; drain && (inc == 0 || inc == p.inc) {
		_ = p.link.Send(&wire.Drain{Incarnation: p.inc})
	}
}

// SetEvacuated sets the availability zones that operators have evacuated. From now
// on, targets in them get no new requests; requests that are in progress there
// continue.
func (e *Entry) SetEvacuated(zones []api.Zone) { e.evacuated.Store(&zones) }

func (e *Entry) evacuatedZones() []api.Zone {
	zones := e.evacuated.Load()
	if zones == nil {
		return nil
	}
	return *zones
}
