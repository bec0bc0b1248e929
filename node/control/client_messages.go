package control

import (
	"context"
	"reflect"
	"slices"
	"time"

	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
)

func (c *Client) handle(conn *link.Conn, m wire.Message) {
	if r, ok := m.(*Reply); ok {
		c.handleReply(conn, r)
		return
	}
	c.handling.Lock()
	defer c.handling.Unlock()
	if !c.isCurrent(conn) {
		return
	}
	switch m := m.(type) {
	case *Update:
		c.handleUpdate(conn, m)
	case *Drains:
		c.handleDrains(m)
	case *Entries:
		c.opt.OnEntries(m.List)
	case *Orders:
		c.opt.OnOrders(m.Ready)
	case *Evacuated:
		c.opt.OnEvacuated(m.Evacuated)
	case *Limits:
		c.opt.OnLimits(m.TargetLimits)
	case *Quarantine:
		c.opt.OnQuarantine(m.List)
	case *Leader:
		c.opt.Observer.LeaderStated(string(conn.Peer().Instance), *m)
		c.handleLeader(conn, m)
	}
}

func (c *Client) handleReply(conn *link.Conn, r *Reply) {
	c.mu.Lock()
	w, ok := c.waiting[r.ID]
	delete(c.waiting, r.ID)
	c.probes.reset()
	c.mu.Unlock()
	if ok {
		w.replies <- r
	}
	if r.Leader != "" {
		c.redirect(conn, r.Leader)
	}
}

// handleUpdate delivers a newer configuration. If a patch does not apply to the
// document that the client holds, the link is closed and the next link starts with
// a whole document. The revision is kept, so a member that lags cannot make this
// process return to an older configuration.
func (c *Client) handleUpdate(conn *link.Conn, u *Update) {
	c.opt.Observer.ConfigReceived(string(conn.Peer().Instance), u.Revision, c.revision)
	if u.Revision <= c.revision {
		return
	}
	document := u.Document
	if u.Patch != nil {
		var ok bool
		if u.Base == c.revision {
			document, ok = u.Patch.Apply(c.document)
		}
		if !ok {
			c.needWhole = true
			conn.Close()
			return
		}
	}
	c.revision, c.document, c.needWhole = u.Revision, document, false
	c.opt.OnConfig(u.Revision, document)
}

// handleDrains delivers a list unless a newer one was delivered before. Otherwise a
// member that lags could send new work to a target that is being drained.
func (c *Client) handleDrains(m *Drains) {
	if m.Index < c.drainsIndex {
		return
	}
	c.drainsIndex = m.Index
	c.opt.OnDrains(m.Targets)
}

// reportLoop sends reports on one link: the first one whole, the others without the
// parts that have not changed. A report lists all linked targets; sent whole every
// second, it alone would exceed an entry's budget of 5 KB per second from 150 targets
// on.
func (c *Client) reportLoop(ctx context.Context, conn *link.Conn) {
	if c.opt.Report == nil {
		return
	}
	t := time.NewTicker(c.opt.ReportEvery)
	defer t.Stop()
	var lastSent *Report
	for {
		r := c.opt.Report()
		_ = conn.Send(reportDelta(lastSent, r))
		lastSent = &r
		select {
		case <-t.C:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// reportDelta returns the message that is sent for report r if lastSent was the
// previous report on the same link. lastSent is nil for the first report.
func reportDelta(lastSent *Report, r Report) *Report {
	if lastSent == nil {
		return &r
	}
	if reflect.DeepEqual(*lastSent, r) {
		return &Report{Instance: r.Instance, Same: true}
	}
	if slices.Equal(lastSent.Targets, r.Targets) {
		r.Targets = nil
		r.SameTargets = true
	}
	return &r
}
