package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
	qt "github.com/frankban/quicktest"
)

const testedEntry = "entry"

// checkAt is a memberCheck with a clock that a test moves.
type checkAt struct {
	*memberCheck
	clock time.Time
	ids   int
}

// newCheckAt returns a check of a calm system in which a first version is confirmed.
func newCheckAt() *checkAt {
	k := &checkAt{memberCheck: newMemberCheck([]string{testedEntry}, rand.New(rand.NewPCG(1, 0))), clock: time.Unix(1000, 0)}
	k.now = func() time.Time { return k.clock }
	k.GroupDisturbed(false)
	k.confirm()
	k.pass(calmAfterStop)
	return k
}

func (k *checkAt) pass(d time.Duration) { k.clock = k.clock.Add(d) }

// confirm proposes a version and confirms it a moment before the present time.
func (k *checkAt) confirm() *version {
	v := k.Propose()
	k.Confirmed(v)
	k.pass(time.Nanosecond)
	return v
}

func (k *checkAt) send(prefix, key string) api.RequestID {
	k.ids++
	id := api.RequestID(fmt.Sprint(k.ids))
	k.Sent(id, testedEntry, prefix, key, routeAdded)
	return id
}

func (k *checkAt) refuse(prefix, key string) {
	k.Answered(k.send(prefix, key), standin.Answer{Status: 404})
}

func (k *checkAt) serve(prefix, key string, by api.ServiceID) {
	id := k.send(prefix, key)
	k.Ran(standin.Run{Request: id, Service: by})
	k.Answered(id, standin.Answer{Status: 200})
}

// newestChange returns the route or key that was changed last, empty for none.
func newestChange(v *version, kind change) string {
	if len(v.recent[kind]) == 0 {
		return ""
	}
	return v.recent[kind][len(v.recent[kind])-1]
}

// newestRoute returns the route that a version added.
func newestRoute(v *version) string { return v.order[len(v.order)-1] }

// until confirms versions until one makes a change of the given kind, and returns the one before and this
// one.
func (k *checkAt) until(kind change) (before, after *version) {
	for {
		before = k.Newest()
		after = k.confirm()
		if changed := newestChange(after, kind); changed != "" && changed != newestChange(before, kind) {
			return before, after
		}
	}
}

// TestMemberCheckFindsBrokenPromises guards against checks of replaced members that cannot fail.
func TestMemberCheckFindsBrokenPromises(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(*checkAt)
		want string // a broken promise, empty for none
	}{
		{"a new route is refused too long", func(k *checkAt) {
			v := k.confirm()
			k.pass(inForce + time.Millisecond)
			k.refuse(newestRoute(v), steadyKey)
		}, "stale"},
		{"a new route is refused before it must be in force", func(k *checkAt) {
			k.confirm()
			v := k.confirm()
			k.pass(inForce - time.Millisecond)
			k.refuse(newestRoute(v), steadyKey)
		}, ""},
		{"a new route is refused shortly after a start of the entry", func(k *checkAt) {
			k.confirm()
			v := k.confirm()
			k.EntryDisturbed(testedEntry)
			k.pass(calmTime)
			k.refuse(newestRoute(v), steadyKey)
		}, ""},
		{"a new route is refused shortly after a member was replaced", func(k *checkAt) {
			k.confirm()
			v := k.confirm()
			k.GroupDisturbed(false)
			k.pass(calmTime)
			k.refuse(newestRoute(v), steadyKey)
		}, ""},
		{"a new route is refused after a stop of most members", func(k *checkAt) {
			k.confirm()
			v := k.confirm()
			k.GroupDisturbed(true)
			k.GroupDisturbed(false)
			k.pass(calmAfterStop)
			k.refuse(newestRoute(v), steadyKey)
		}, ""},
		{"a new route is refused too long after a stop of most members", func(k *checkAt) {
			v := k.confirm()
			k.GroupDisturbed(true)
			k.GroupDisturbed(false)
			k.pass(calmAfterStop + time.Millisecond)
			k.refuse(newestRoute(v), steadyKey)
		}, "stale"},
		{"a dropped route is served", func(k *checkAt) {
			before, v := k.until(routeDropped)
			k.pass(inForce + time.Millisecond)
			prefix := newestChange(v, routeDropped)
			k.serve(prefix, steadyKey, before.routes[prefix])
		}, "stale"},
		{"a revoked key is obeyed", func(k *checkAt) {
			_, v := k.until(keyRevoked)
			k.pass(inForce + time.Millisecond)
			k.serve(steadyRoute, newestChange(v, keyRevoked), serviceA)
		}, "stale"},
		{"a new key is refused", func(k *checkAt) {
			_, v := k.until(keyAdded)
			k.pass(inForce + time.Millisecond)
			k.refuse(steadyRoute, newestChange(v, keyAdded))
		}, "stale"},
		{"a moved route goes to the service before", func(k *checkAt) {
			before, v := k.until(routeMoved)
			prefix := newestChange(v, routeMoved)
			k.pass(inForce + time.Millisecond)
			k.serve(prefix, steadyKey, before.routes[prefix])
		}, "stale"},
		{"a version that may be in force is obeyed", func(k *checkAt) {
			k.confirm()
			v := k.Propose()
			k.pass(inForce + time.Millisecond)
			k.serve(newestRoute(v), steadyKey, v.routes[newestRoute(v)])
		}, ""},
		{"an entry goes back to an older version", func(k *checkAt) {
			k.confirm()
			v := k.Propose()
			k.serve(newestRoute(v), steadyKey, v.routes[newestRoute(v)])
			k.pass(rollbackSlack + time.Millisecond)
			k.refuse(newestRoute(v), steadyKey)
		}, "back"},
		{"an entry has an older version after its start", func(k *checkAt) {
			k.confirm()
			v := k.Propose()
			k.serve(newestRoute(v), steadyKey, v.routes[newestRoute(v)])
			k.EntryDisturbed(testedEntry)
			k.pass(rollbackSlack + time.Millisecond)
			k.refuse(newestRoute(v), steadyKey)
		}, ""},
		{"what all versions allow is refused during faults", func(k *checkAt) {
			k.confirm()
			k.EntryDisturbed(testedEntry)
			k.refuse(steadyRoute, steadyKey)
		}, "no version"},
		{"a target of a foreign service runs a request", func(k *checkAt) {
			k.confirm()
			k.serve(steadyRoute, steadyKey, serviceB)
		}, "no version"},
		{"a proper request is refused as improper", func(k *checkAt) {
			k.confirm()
			k.Answered(k.send(steadyRoute, steadyKey), standin.Answer{Status: 400})
		}, "refused"},
		{"a read gives an older version", func(k *checkAt) {
			old := k.confirm()
			k.confirm()
			k.pass(time.Millisecond)
			k.Read("member", old.number, documentOf(old), k.clock)
		}, "old read"},
		{"a read crosses a confirmation", func(k *checkAt) {
			old := k.confirm()
			sent := k.clock
			k.pass(time.Millisecond)
			k.confirm()
			k.Read("member", old.number, documentOf(old), sent)
		}, ""},
		{"a read gives other content", func(k *checkAt) {
			old, v := k.confirm(), k.confirm()
			k.Read("member", v.number, documentOf(old), k.clock)
		}, "foreign content"},
		{"nothing is served after the time for recovery", func(k *checkAt) {
			k.confirm()
			k.GroupDisturbed(false)
			k.pass(recoveryTime + time.Millisecond)
			k.Answered(k.send(steadyRoute, steadyKey), standin.Answer{Status: 503})
		}, "not recovered"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			k := newCheckAt()
			tt.play(k)
			_, broken := k.evaluate()
			broken = slices.DeleteFunc(broken, func(s string) bool { return strings.HasPrefix(s, "not checked") })
			if tt.want == "" {
				c.Assert(broken, qt.HasLen, 0)
				return
			}
			c.Assert(len(broken) > 0, qt.IsTrue)
			c.Assert(strings.HasPrefix(broken[0], tt.want+", 1 times"), qt.IsTrue, qt.Commentf("%v", broken))
		})
	}
}

// documentOf returns the document that operators send for a version.
func documentOf(v *version) []byte {
	c := v.configuration()
	document, err := c.Document()
	if err != nil {
		panic(err) // its content is made by the test
	}
	return document
}

// TestTooFewProbesFail guards against a run that says nothing because hardly any probe was checked.
func TestTooFewProbesFail(t *testing.T) {
	c := qt.New(t)
	k := newCheckAt()
	k.confirm()
	v := k.confirm()
	k.pass(inForce + time.Millisecond)
	for i := range minChecked {
		_, broken := k.evaluate()
		c.Assert(broken, qt.DeepEquals, []string{fmt.Sprintf("not checked: only %d probes of %s", i, testedEntry)})
		k.serve(newestRoute(v), steadyKey, v.routes[newestRoute(v)])
	}
	_, broken := k.evaluate()
	c.Assert(broken, qt.HasLen, 0)
}

// TestVersionsDescribeTheirDocuments guards against a check of what is read back that accepts anything.
func TestVersionsDescribeTheirDocuments(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(2, 0))
	v := firstVersion()
	for i := range 50 {
		n := v.next(uint64(i+1), rng)
		own, before := n.configuration(), v.configuration()
		c.Assert(own.Describes(documentOf(n)), qt.IsTrue)
		c.Assert(before.Describes(documentOf(n)), qt.IsFalse)
		v = n
	}
}
