package retrybudget

import (
	"cmp"
	"slices"
	"time"

	"almondseam.dev/core/api"
)

const (
	// maxAccounts bounds how many accounts the pool has.
	maxAccounts = 8192
	// maxName bounds the bytes of an ask's ID and of its service.
	maxName = 128
	// maxSlack bounds the retries that are remembered of one service.
	maxSlack = 100_000
	// microsPerMilli converts the replicated time to that of a pace.
	microsPerMilli = 1000
)

// Grant is one retry that was granted.
type Grant struct {
	ID string `cbor:"1,keyasint"`
	// Until is the replicated time, in milliseconds, up to which it counts.
	Until int64 `cbor:"2,keyasint"`
	// Returned grants are remembered, so that a late copy of the ask gets no other one.
	Returned bool `cbor:"3,keyasint,omitempty"`
}

// Account holds the grants of one service, or of one target of it that is cold or that names
// a limit.
type Account struct {
	Service api.ServiceID `cbor:"1,keyasint"`
	Target  api.TargetID  `cbor:"3,keyasint,omitempty"`
	// Grants are in the order of Until.
	Grants []Grant `cbor:"2,keyasint"`
	// Paced is set for the account of a target's limit.
	Paced bool `cbor:"4,keyasint,omitempty"`
	// Next is the replicated time, in microseconds, at which the next paced grant is due.
	Next int64 `cbor:"5,keyasint,omitempty"`
}

// Pool is the part of the budget that all entries share. It is a replicated state
// machine: equal asks in equal order give equal answers, and time is the replicated
// clock, which is never ahead of what has really passed.
//
// Its grants are entries of the replicated log, so that there is one order of all of them,
// through changes of leader and restarts: no two grantors give the same one.
type Pool struct {
	accounts map[accountKey]*Account
}

// accountKey names an account; target is empty for that of a service's retries.
type accountKey struct {
	service api.ServiceID
	target  api.TargetID
	paced   bool
}

func (a *Ask) key() accountKey { return accountKey{a.Service, a.Target, a.paced()} }

func (a *Ask) paced() bool { return a.Purpose == PurposeLimited }

func (c *Account) key() accountKey { return accountKey{c.Service, c.Target, c.Paced} }

// NewPool gives a pool of which nothing is granted.
func NewPool() *Pool { return &Pool{accounts: make(map[accountKey]*Account)} }

// Step decides an ask at a replicated time in milliseconds.
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
		return account.again(known, a)
	}
	if a.Return {
		return Answer{}
	}
	return p.grant(account, now, a)
}

func (a *Ask) valid() bool {
	return a.ID != "" && len(a.ID) <= maxName && a.Service != "" && len(a.Service) <= maxName &&
		a.purposeFits() && a.Rate >= 0 &&
		a.Limits.Window > 0 && a.Limits.Slack >= 0 && a.Limits.Slack <= maxSlack
}

// purposeFits tells whether the purpose is known and has the target that it needs.
func (a *Ask) purposeFits() bool {
	switch a.Purpose {
	case PurposeResume, PurposeRetry:
		return a.Target == ""
	case PurposeColdStart, PurposeLimited:
		return a.Target != "" && len(a.Target) <= maxName
	}
	return false
}

// allowed is how many retries may be granted at a time for the purpose.
func (a *Ask) allowed() float64 {
	if a.Purpose == PurposeRetry {
		return a.Limits.Slack * (1 - resumeShare)
	}
	return a.Limits.Slack
}

// Check tells whether the pool would grant an ask now.
func (p *Pool) Check(now int64, a Ask) Answer {
	account := p.accounts[a.key()]
	if a.paced() {
		return account.pace(now, a)
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

func (p *Pool) grant(account *Account, now int64, a Ask) Answer {
	answer := p.Check(now, a)
	if !answer.Granted {
		return answer
	}
	p.accounts[a.key()] = account
	if a.paced() {
		account.advance(now, a)
	}
	account.put(Grant{ID: a.ID, Until: now + a.Limits.hold().Milliseconds() + 1})
	return answer
}

// put keeps the order also where the window of an earlier ask was longer.
func (c *Account) put(g Grant) {
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

// again answers an ask that was decided before.
func (c *Account) again(known *Grant, a Ask) Answer {
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

// used counts what is granted at a time.
func (c *Account) used(now int64) int {
	n := 0
	for i := range c.Grants {
		if c.Grants[i].Until > now && !c.Grants[i].Returned {
			n++
		}
	}
	return n
}

// nextFree tells when the first grant ends.
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

// expire forgets what counts no more.
func (p *Pool) expire(now int64) {
	for id, c := range p.accounts {
		c.Grants = slices.DeleteFunc(c.Grants, func(g Grant) bool { return g.Until <= now })
		if len(c.Grants) == 0 && c.Next <= now*microsPerMilli {
			delete(p.accounts, id)
		}
	}
}

// Snapshot gives a copy of all accounts in the order of their services and targets.
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

// RestorePool gives the pool that Snapshot was taken of.
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

// kind orders the accounts of one target.
func (c *Account) kind() int {
	if c.Paced {
		return 1
	}
	return 0
}
