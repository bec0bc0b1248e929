package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// maxMembers bounds the size of a membership read from a peer or a file. At most
// nine instances are reserved for the control group; the rest is headroom for
// learners.
const maxMembers = 64

// maxAddrBytes bounds the length of an address read from a peer or a file.
const maxAddrBytes = 256

func findMember(list []Member, id MemberID) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.ID == id })
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id MemberID) bool { return findMember(m.Voters, id) >= 0 }

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id MemberID) bool { return findMember(m.Learners, id) >= 0 }

// Addr returns the address of id, or an empty string if id is not a member.
func (m Membership) Addr(id MemberID) string {
	if i := findMember(m.Voters, id); i >= 0 {
		return m.Voters[i].Addr
	}
	if i := findMember(m.Learners, id); i >= 0 {
		return m.Learners[i].Addr
	}
	return ""
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

func (m Membership) clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners), Absences: slices.Clone(m.Absences)}
}

func sortMembers(list []Member) {
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}

func (m Membership) validate() error {
	if len(m.Voters)+len(m.Learners) > maxMembers {
		return fmt.Errorf("%w: more than %d members", ErrMalformed, maxMembers)
	}
	if len(m.Absences) > maxAbsences {
		return fmt.Errorf("%w: more than %d absences", ErrMalformed, maxAbsences)
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

// apply returns the membership after one change. It adds or removes at most one
// voter, so every majority of the old voters overlaps every majority of the new.
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
		removed := func(x Member) bool { return x.ID == c.ID }
		next.Voters = slices.DeleteFunc(next.Voters, removed)
		next.Learners = slices.DeleteFunc(next.Learners, removed)
		next.Absences = withoutMember(next.Absences, c.ID)
	default:
		return m, fmt.Errorf("%w: change type %d", ErrMalformed, c.Type)
	}
	sortMembers(next.Voters)
	sortMembers(next.Learners)
	return next, next.validate()
}

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// memberships holds the memberships set by the snapshot and the log, oldest first.
// A membership takes effect when its entry is appended, not when it is committed,
// so that a leader can't commit an entry with a majority of voters that its log has
// already replaced. Older memberships are kept in case the entry is overwritten.
type memberships []membershipAt

func (s memberships) latest() membershipAt { return s[len(s)-1] }

// at returns the membership in effect at index.
func (s memberships) at(index uint64) Membership { return s.entryAt(index).membership }

func (s memberships) entryAt(index uint64) membershipAt {
	for i := len(s) - 1; i > 0; i-- {
		if s[i].index <= index {
			return s[i]
		}
	}
	return s[0]
}

// truncate drops the memberships that were set at or after index, but never the
// oldest one.
func (s memberships) truncate(index uint64) memberships {
	for len(s) > 1 && s[len(s)-1].index >= index {
		s = s[:len(s)-1]
	}
	return s
}

// compact drops the memberships that were replaced at or before index.
func (s memberships) compact(index uint64) memberships {
	for len(s) > 1 && s[1].index <= index {
		s = s[1:]
	}
	return slices.Clone(s)
}
