package control

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
)

// joinInterval is the time between two checks whether this member belongs to a group
// with a leader, and thus between two requests to be added.
const joinInterval = 700 * time.Millisecond

// minLeaderlessChecks is how many consecutive checks must find no leader before a
// member that belongs to the group asks to be added again: an election is over
// within two checks.
const minLeaderlessChecks = 3

// keepJoined asks the group to add this member whenever the member belongs to no
// group that has a leader. That is the case with an empty data directory, and after
// the member was removed while it was silent. Asking twice is harmless because the
// group rejects the addition of a member that it already has.
func keepJoined(ctx context.Context, x *executor, self string) {
	leaderlessChecks := 0
	for ctx.Err() == nil {
		sleep(ctx, joinInterval)
		st := x.member.Status()
		belongs := st.Membership.IsVoter(st.ID) || st.Membership.IsLearner(st.ID)
		if st.Leader != 0 && belongs {
			leaderlessChecks = 0
			continue
		}
		leaderlessChecks++
		if belongs && leaderlessChecks < minLeaderlessChecks {
			continue
		}
		requestJoin(ctx, x, st.ID, self)
	}
}

func requestJoin(ctx context.Context, x *executor, id consensus.MemberID, self string) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r := x.forward.Exec(ctx, Request{Change: &MemberChange{Type: consensus.ChangeAddLearner, ID: id, Addr: self}})
	if r.Outcome != api.OutcomeCompleted {
		x.member.opt.Observer.Refused(r.Reason)
	}
}
