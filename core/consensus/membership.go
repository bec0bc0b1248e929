package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// maxMembers bounds a membership read from a peer or a file. Nine instances at
// most are set aside for control; the rest is room for learners.
const maxMembers = 64

// maxAddrBytes bounds one address read from a peer or a file.
const maxAddrBytes = 256

func findMember(list []Member, id MemberID) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.ID == id })
}

// IsVoter tells whether id votes.
func (m Membership) IsVoter(id MemberID) bool { return findMember(m.Voters, id) >= 0 }

// IsLearner tells whether id only receives the log.
func (m Membership) IsLearner(id MemberID) bool { return findMember(m.Learners, id) >= 0 }

// Addr gives the address of id, empty if it is not a member.
func (m Membership) Addr(id MemberID) string {
	if i := findMember(m.Voters, id); i >= 0 {
		return m.Voters[i].Addr
	}
	if i := findMember(m.Learners, id); i >= 0 {
		return m.Learners[i].Addr
	}
	return ""
}

// Quorum is the number of voters that make a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

func sortMembers(list []Member) {
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

func (m Membership) validate() error {
	if len(m.Voters)+len(m.Learners) > maxMembers {
		return fmt.Errorf("%w: more than %d members", ErrMalformed, maxMembers)
	}
	seen := make(map[MemberID]bool, len(m.Voters)+len(m.Learners))
	for _, x := range slices.Concat(m.Voters, m.Learners) {
		if x.ID == 0 || seen[x.ID] || len(x.Addr) > maxAddrBytes {
			return fmt.Errorf("%w: member %x is zero, twice there or has too long an address", ErrMalformed, uint64(x.ID))
		}
		seen[x.ID] = true
	}
	return nil
}

// apply gives the membership after one change. Old and new majorities always
// share a voter because one voter at most comes or goes.
func (m Membership) apply(c Change) (Membership, error) {
	next := m.clone()
	switch c.Type {
	case ChangeAddLearner:
		if c.ID == 0 || len(c.Addr) > maxAddrBytes {
			return m, fmt.Errorf("%w: add learner needs an ID and an address of at most %d bytes", ErrMalformed, maxAddrBytes)
		}
		if m.IsVoter(c.ID) || m.IsLearner(c.ID) {
			return m, ErrMemberExists
		}
		next.Learners = append(next.Learners, Member{ID: c.ID, Addr: c.Addr})
	case ChangePromote:
		i := findMember(next.Learners, c.ID)
		if i < 0 {
			return m, ErrNotLearner
		}
		next.Voters = append(next.Voters, next.Learners[i])
		next.Learners = slices.Delete(next.Learners, i, i+1)
	case ChangeRemove:
		if !m.IsVoter(c.ID) && !m.IsLearner(c.ID) {
			return m, ErrUnknownMember
		}
		gone := func(x Member) bool { return x.ID == c.ID }
		next.Voters = slices.DeleteFunc(next.Voters, gone)
		next.Learners = slices.DeleteFunc(next.Learners, gone)
	default:
		return m, fmt.Errorf("%w: change type %d", ErrMalformed, c.Type)
	}
	sortMembers(next.Voters)
	sortMembers(next.Learners)
	return next, next.validate()
}

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index uint64
	m     Membership
}

// memberships are those in the log, oldest first. A membership holds from the
// moment its entry is appended, not only once committed: a leader then can't
// commit an entry by the majority of a group that the log has already left.
// So the older ones are kept, for when the entry is overwritten.
type memberships []membershipAt

func (s memberships) latest() membershipAt { return s[len(s)-1] }

// at gives the membership that held at index.
func (s memberships) at(index uint64) Membership {
	for i := len(s) - 1; i > 0; i-- {
		if s[i].index <= index {
			return s[i].m
		}
	}
	return s[0].m
}

// truncate forgets those at or after index.
func (s memberships) truncate(index uint64) memberships {
	for len(s) > 1 && s[len(s)-1].index >= index {
		s = s[:len(s)-1]
	}
	return s
}

// compact forgets those that were replaced at or before index.
func (s memberships) compact(index uint64) memberships {
	for len(s) > 1 && s[1].index <= index {
		s = s[1:]
	}
	return slices.Clone(s)
}
