package commander

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"peridotswitch.example/common/operatorpb"
)

// MemberChange is a membership change of the control cluster.
type MemberChange struct {
	// Action is add, remove or move.
	Action string
	// InstanceID is the member that is added, removed, or moved in.
	InstanceID string
	// Replaces is the member that InstanceID replaces in a move; empty for the other actions.
	Replaces string
}

// ChangeMember changes the membership of the control cluster. It is idempotent.
func (c *Commander) ChangeMember(ctx context.Context, m MemberChange) (err error) {
	defer func() { err = errors.WithMessage(err, "member") }()
	if (m.Action == "move") != (m.Replaces != "") {
		return &UsageError{Text: "--replaces is required for move and not allowed with other actions"}
	}
	var reply *operatorpb.ChangeMemberReply
	err = c.callControl(ctx, func(ctx context.Context, o operatorpb.Operator) (err error) {
		reply, err = o.ChangeMember(ctx, &operatorpb.ChangeMemberRequest{Action: m.Action, InstanceId: m.InstanceID, Replaces: m.Replaces})
		return err
	})
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return errors.Errorf("refused: %s", reply.Refusal)
	}
	fmt.Fprintf(c.cfg.Out, "done: %s %s\n", m.Action, m.InstanceID)
	return nil
}
