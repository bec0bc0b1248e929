package retrybudget

import (
	"cmp"
	"slices"
	"time"

	"almondseam.dev/core/api"
)

const (
	// maxAccounts bounds the number of accounts in the pool.
	maxAccounts = 8192
	// maxName bounds the bytes of an ask's ID, service and target, each.
	maxName = 128
	// maxSlack bounds Limits.Slack, and with it the grants in force in one account.
	maxSlack = 100_000
	// microsPerMilli converts the replicated time to the unit of Account.Next.
	microsPerMilli = 1000
)

// Grant is a granted retry or request.
type Grant struct {
	ID string `cbor:"1,keyasint"`
	// Until is the replicated time, in milliseconds, until which the grant counts.
	Until int64 `cbor:"2,keyasint"`
	// Returned is set on a returned grant. It is remembered so that a delayed duplicate of
	// the ask gets no other grant.
	Returned bool `cbor:"3,keyasint,omitempty"`
}

// Account holds the grants for the retries of one service, or for requests to one of its
// targets that is cold or states a limit.
type Account struct {
	Service api.ServiceID `cbor:"1,keyasint"`
	Target  api.TargetID  `cbor:"3,keyasint,omitempty"`
	// Grants are sorted by Until.
	Grants []Grant `cbor:"2,keyasint"`
	// Paced is set for the account of a target that states a limit.
	Paced bool `cbor:"4,keyasint,omitempty"`
	// Next is the replicated time, in microseconds, at which the next paced grant is due.
	Next int64 `cbor:"5,keyasint,omitempty"`
}

// Pool is the part of the budget that all entries share. It is a replicated state machine: the
// same asks in the same order give the same answers. Time is the replicated clock, which never
// runs ahead of the time that has actually passed.
//
// Its grants are entries of the replicated log, so that they have a single order across leader
// changes and restarts, and no two leaders can grant the same retry.
type Pool struct {
	accounts map[accountKey]*Account
}

// accountKey identifies an account; target is empty for the retries of a service.
type accountKey struct {
	service api.ServiceID
	target  api.TargetID
	paced   bool
}

func (a *Ask) key() accountKey { return accountKey{a.Service, a.Target, a.paced()} }

func (a *Ask) paced() bool { return a.Purpose == PurposeLimited }

func (c *Account) key() accountKey { return accountKey{c.Service, c.Target, c.Paced} }

// NewPool returns a pool without grants.
func NewPool() *Pool { return &Pool{accounts: make(map[accountKey]*Account)} }

// Step applies an ask at a replicated time in milliseconds and returns the answer.
func (p *Pool) Step(now int64, a Ask) Answer {
	p.expire(now)
	if !a.valid() {
		return Answer{Reason: api.ReasonBadRequest}
	}
	account := p.accounts[a.key()]
	if account == nil {
		if a.Return {
			return Answer{}
		}
		if len(p.accounts) >= maxAccounts {
			return Answer{Reason: api.ReasonRetryBudget}
		}
		account = &Account{Service: a.Service, Target: a.Target, Paced: a.paced()}
	}
	if known := account.find(a.ID); known != nil {
		return account.answerKnown(known, a)
	}
	if a.Return {
		return Answer{}
	}
	return p.grant(account, now, a)
}

// valid reports whether the ask is complete and within the bounds that the pool accepts.
func (a *Ask) valid() bool {
	return a.ID != "" && len(a.ID) <= maxName && a.Service != "" && len(a.Service) <= maxName &&
		a.purposeFits() && a.Rate >= 0 &&
		a.Limits.Window > 0 && a.Limits.Slack >= 0 && a.Limits.Slack <= maxSlack
}

// purposeFits reports whether the purpose is known, and has a target exactly if it needs one.
func (a *Ask) purposeFits() bool {
	switch a.Purpose {
	case PurposeResume, PurposeRetry:
		return a.Target == ""
	case PurposeColdStart, PurposeLimited:
		return a.Target != "" && len(a.Target) <= maxName
	}
	return false
}

// allowed returns how many grants may be in force at a time for the purpose.
func (a *Ask) allowed() float64 {
	if a.Purpose == PurposeRetry {
		return a.Limits.Slack * (1 - resumeShare)
	}
	return a.Limits.Slack
}

// Check returns the answer to an ask at a replicated time in milliseconds, without applying it.
func (p *Pool) Check(now int64, a Ask) Answer {
	account := p.accounts[a.key()]
	if a.paced() {
		return account.checkPace(now, a)
	}
	used := 0
	if account != nil {
		used = account.used(now)
	}
	answer := Answer{Used: used, Allowed: a.allowed()}
	answer.Granted = float64(used+1) <= answer.Allowed
	if !answer.Granted {
		answer.Reason = api.ReasonRetryBudget
		answer.RetryAfter = account.nextFree(now)
	}
	return answer
}

// grant answers a new ask, and adds the grant to the account if it is granted.
func (p *Pool) grant(account *Account, now int64, a Ask) Answer {
	answer := p.Check(now, a)
	if !answer.Granted {
		return answer
	}
	p.accounts[a.key()] = account
	if a.paced() {
		account.advance(now, a)
	}
	account.insert(Grant{ID: a.ID, Until: now + a.Limits.holdTime().Milliseconds() + 1})
	return answer
}

// insert adds a grant in the order of Until, also if an earlier grant with a longer window ends
// later.
func (c *Account) insert(g Grant) {
	at := len(c.Grants)
	for at > 0 && c.Grants[at-1].Until > g.Until {
		at--
	}
	c.Grants = slices.Insert(c.Grants, at, g)
}

func (c *Account) find(id string) *Grant {
	for i := range c.Grants {
		if c.Grants[i].ID == id {
			return &c.Grants[i]
		}
	}
	return nil
}

// answerKnown answers an ask for which the account has a grant, and applies a return.
func (c *Account) answerKnown(known *Grant, a Ask) Answer {
	if a.Return && !known.Returned {
		known.Returned = true
		if c.Paced {
			c.Next -= a.interval().Microseconds()
		}
	}
	if known.Returned {
		return Answer{Reason: api.ReasonRetryBudget}
	}
	return Answer{Granted: true, Allowed: a.allowed()}
}

// used returns the number of grants that count at a time.
func (c *Account) used(now int64) int {
	n := 0
	for i := range c.Grants {
		if c.Grants[i].Until > now && !c.Grants[i].Returned {
			n++
		}
	}
	return n
}

// nextFree returns the time until the first of the grants that count ends, zero if there is none.
func (c *Account) nextFree(now int64) time.Duration {
	if c == nil {
		return 0
	}
	for i := range c.Grants {
		if left := c.Grants[i].Until - now; left > 0 && !c.Grants[i].Returned {
			return time.Duration(left) * time.Millisecond
		}
	}
	return 0
}

// expire removes grants that have ended, and accounts without grants whose next paced grant is due.
func (p *Pool) expire(now int64) {
	for id, c := range p.accounts {
		c.Grants = slices.DeleteFunc(c.Grants, func(g Grant) bool { return g.Until <= now })
		if len(c.Grants) == 0 && c.Next <= now*microsPerMilli {
			delete(p.accounts, id)
		}
	}
}

// Snapshot returns a copy of all accounts, sorted by service, target and kind.
func (p *Pool) Snapshot() []Account {
	out := make([]Account, 0, len(p.accounts))
	for _, c := range p.accounts {
		out = append(out, c.clone())
	}
	slices.SortFunc(out, func(a, b Account) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target), cmp.Compare(a.kind(), b.kind()))
	})
	return out
}

// RestorePool returns the pool that a Snapshot was taken of.
func RestorePool(list []Account) *Pool {
	p := NewPool()
	for _, c := range list {
		account := c.clone()
		p.accounts[c.key()] = &account
	}
	return p
}

func (c *Account) clone() Account {
	account := *c
	account.Grants = slices.Clone(c.Grants)
	return account
}

// kind returns the sort key of accounts of the same target.
func (c *Account) kind() int {
	if c.Paced {
		return 1
	}
	return 0
}
