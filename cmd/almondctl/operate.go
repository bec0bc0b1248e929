package main

import (
	"net/http"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"almondseam.dev/node/control/opapi"
)

// addMembers adds the command `members` with its subcommands.
func addMembers(c *cli, app *kingpin.Application) {
	members := app.Command("members", "List and change the control group.")
	members.Command("list", "List the group.").
		Action(func(*kingpin.ParseContext) error { c.run = c.membersList; return nil })
	add := members.Command("add", "Add a member as a learner.")
	address := new(string)
	addMemberChange(c, add, opapi.MemberAdd, address)
	add.Arg("address", "The address that other members dial, host:port.").Required().StringVar(address)
	addMemberChange(c, members.Command("promote", "Make a learner that has caught up a voter."), opapi.MemberPromote, new(string))
	addMemberChange(c, members.Command("remove", "Remove a member; refused when it would lose the majority."), opapi.MemberRemove, new(string))
}

func addMemberChange(c *cli, cmd *kingpin.CmdClause, change string, address *string) {
	id := cmd.Arg("id", "The member's ID, as its log and `members list` show it.").Required().Uint64()
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error {
			return c.memberChange(opapi.MemberChange{Change: change, ID: *id, Address: *address})
		}
		return nil
	})
}

func (c *cli) membersList() error {
	var members []opapi.Member
	if err := c.call(http.MethodGet, opapi.PathMembers, nil, nil, &members); err != nil {
		return err
	}
	return c.print(members, membersTable(members))
}

func (c *cli) memberChange(change opapi.MemberChange) error {
	if err := c.call(http.MethodPost, opapi.PathMembers, nil, change, nil); err != nil {
		return err
	}
	t := &table{head: []string{"CHANGE", "MEMBER", "ADDRESS"}}
	t.add(change.Change, strconv.FormatUint(change.ID, 10), change.Address)
	return c.print(change, t)
}

// addDrain adds the command `drain`.
func addDrain(c *cli, app *kingpin.Application) {
	var d opapi.Drain
	cmd := app.Command("drain", "Give a target no new work; what runs there is finished.")
	cmd.Arg("target", "The target.").Required().StringVar((*string)(&d.Target))
	cmd.Flag("incarnation", "Only this incarnation; 0 for whichever runs.").Uint64Var((*uint64)(&d.Incarnation))
	cmd.Flag("undo", "End the drain; a target that has left comes back with its agent's next start.").BoolVar(&d.Undo)
	cmd.Flag("author", "Who asks.").Envar("USER").Default("unknown").StringVar(&d.Author)
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error { return c.drain(d) }
		return nil
	})
}

func (c *cli) drain(d opapi.Drain) error {
	if err := c.call(http.MethodPost, opapi.PathDrain, nil, d, nil); err != nil {
		return err
	}
	t := &table{head: []string{"TARGET", "DRAIN"}}
	t.add(d.Target, !d.Undo)
	return c.print(d, t)
}

// addOrders adds the command `orders` with its subcommands.
func addOrders(c *cli, app *kingpin.Application) {
	orders := app.Command("orders", "List and give orders to targets.")
	orders.Command("list", "List the orders.").Default().
		Action(func(*kingpin.ParseContext) error { c.run = c.ordersList; return nil })
	addSubmit(c, orders)
}

func addSubmit(c *cli, orders *kingpin.CmdClause) {
	var o opapi.Order
	cmd := orders.Command("submit", "Queue an order. Sent again with the same ID it is the same order.")
	cmd.Arg("id", "Your own name of this order.").Required().StringVar(&o.ID)
	cmd.Arg("target", "The target.").Required().StringVar((*string)(&o.Target))
	cmd.Arg("action", "What to do.").Required().EnumVar(&o.Action, "load_model", "load_adapter", "load_version", "change_role")
	cmd.Flag("model", "The model.").StringVar((*string)(&o.Model))
	cmd.Flag("adapter", "The adapter.").StringVar(&o.Adapter)
	cmd.Flag("version", "The version.").StringVar(&o.Version)
	cmd.Flag("role", "The role.").StringVar(&o.Role)
	cmd.Flag("bytes", "What the load reads from the weight store, for its pace.").Int64Var(&o.Bytes)
	cmd.Flag("author", "Who asks.").Envar("USER").Default("unknown").StringVar(&o.Author)
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error { return c.orderSubmit(o) }
		return nil
	})
}

func (c *cli) ordersList() error {
	var list []opapi.Order
	if err := c.call(http.MethodGet, opapi.PathOrders, nil, nil, &list); err != nil {
		return err
	}
	return c.print(list, ordersTable(list...))
}

func (c *cli) orderSubmit(o opapi.Order) error {
	var out opapi.Order
	if err := c.call(http.MethodPost, opapi.PathOrders, nil, o, &out); err != nil {
		return err
	}
	return c.print(out, ordersTable(out))
}

func ordersTable(list ...opapi.Order) *table {
	t := &table{head: []string{"FENCE", "ID", "TARGET", "ACTION", "WHAT", "STATE", "AUTHOR", "MESSAGE"}}
	for _, o := range list {
		t.add(o.Fence, o.ID, o.Target, o.Action, orderSubject(o), o.State, o.Author, o.Message)
	}
	return t
}

// orderSubject returns the role, or the model with its adapter and version, that an order
// is about.
func orderSubject(o opapi.Order) string {
	if o.Role != "" {
		return o.Role
	}
	s := string(o.Model)
	if o.Adapter != "" {
		s += "+" + o.Adapter
	}
	if o.Version != "" {
		s += "@" + o.Version
	}
	return s
}
