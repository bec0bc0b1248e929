package control

import (
	"context"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
)

// joinPause is how long a member waits between two looks at whether it belongs
// to a group with a leader, and so between two requests to be added.
const joinPause = 700 * time.Millisecond

// lonelyLooks is how many looks in a row must find no leader before the member
// asks to be added: an election is over within two.
const lonelyLooks = 3

// keepJoined asks the group to add this member while it belongs to none that has
// a leader. That holds for an empty folder, and for a member that was removed
// while it was silent. To be added twice is harmless: the group refuses a member
// that it has.
func keepJoined(ctx context.Context, x *executor, self string) {
	lonely := 0
	for ctx.Err() == nil {
		sleep(ctx, joinPause)
		st := x.member.Status()
		belongs := st.Membership.IsVoter(st.ID) || st.Membership.IsLearner(st.ID)
		if st.Leader != 0 && belongs {
			lonely = 0
			continue
		}
		lonely++
		if belongs && lonely < lonelyLooks {
			continue
		}
		askToJoin(ctx, x, st.ID, self)
	}
}

func askToJoin(ctx context.Context, x *executor, id consensus.MemberID, self string) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r := x.forward.Exec(ctx, Request{Change: &MemberChange{Type: consensus.ChangeAddLearner, ID: id, Addr: self}})
	if r.Outcome != api.OutcomeCompleted {
		x.member.opt.Observer.Refused(r.Reason)
	}
}
