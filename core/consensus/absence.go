package consensus

import "slices"

// Absence records that a voter was silent when a member was added, and that no leader has had a response
// from it since: the member may run in place of the voter's machine. It is part of the membership so
// that a new leader knows of it too. It decides which changes are proposed, never what counts as a
// majority.
type Absence struct {
	Joined MemberID `cbor:"1,keyasint"`
	Voter  MemberID `cbor:"2,keyasint"`
}

// maxAbsences bounds the absences of a membership.
const maxAbsences = 4 * maxMembers

// withoutMember drops the absences that name a member.
func withoutMember(list []Absence, id MemberID) []Absence {
	return slices.DeleteFunc(list, func(a Absence) bool { return a.Joined == id || a.Voter == id })
}

// absentSince returns the voters that are not known to have responded since a member was added. It is
// called on the leader only.
func (n *Node) absentSince(id MemberID) []MemberID {
	since, added := n.lead.startTick, false
	if p := n.lead.peers[id]; p != nil {
		since, added = p.joinedTick, p.added
	}
	m := n.members()
	var out []MemberID
	for _, v := range m.Voters {
		p := n.lead.peers[v.ID]
		if v.ID == id || p == nil || p.heard && p.lastAckTick >= since {
			continue
		}
		if added || slices.Contains(m.Absences, Absence{Joined: id, Voter: v.ID}) {
			out = append(out, v.ID)
		}
	}
	return out
}

// recordAbsences brings the absences of the next membership up to date: it drops those of voters that
// have responded since, and adds those of the member that is added or promoted.
func (n *Node) recordAbsences(c Change, next *Membership) {
	next.Absences = slices.DeleteFunc(next.Absences, func(a Absence) bool {
		return !slices.Contains(n.absentSince(a.Joined), a.Voter)
	})
	for _, v := range next.Voters {
		a := Absence{Joined: c.ID, Voter: v.ID}
		if n.absentAt(c, v.ID) && !slices.Contains(next.Absences, a) && len(next.Absences) < maxAbsences {
			next.Absences = append(next.Absences, a)
		}
	}
	if len(next.Absences) == 0 {
		next.Absences = nil
	}
}

// absentAt reports whether a voter is absent when a member is added or promoted.
func (n *Node) absentAt(c Change, voter MemberID) bool {
	p := n.lead.peers[voter]
	if p == nil || p.heard && n.isActive(voter) {
		return false
	}
	return c.Type == ChangeAddLearner || c.Type == ChangePromote && slices.Contains(n.absentSince(c.ID), voter)
}
