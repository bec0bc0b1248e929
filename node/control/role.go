package control

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/state"
	"almondseam.dev/node/link"
	"almondseam.dev/node/registry"
	"almondseam.dev/node/wire"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Settings of a process's control role.
type Settings struct {
	// ID, Restored and Storage come from the data folder.
	ID       consensus.MemberID
	Restored consensus.Restored
	Storage  Storage
	// Link takes links of other members and of entries, Operator takes HTTP of
	// operators; it may be nil.
	Link     net.Listener
	Operator net.Listener
	// OperatorAddr is where operators are told that this member listens.
	OperatorAddr string
	Zone         api.Zone
	Instance     api.InstanceID
	Key          []byte
	Token        string
	Validate     Validator
	Pace         Pacer
	Observer     Observer
	LinkObserver link.Observer
	Limits       state.Limits
	// Retries is Options.Retries.
	Retries retrybudget.Limits
	// SnapshotEntries is Options.SnapshotEntries.
	SnapshotEntries uint64
	// Join makes this member find its group by itself; nil leaves that to an
	// operator.
	Join *Join
	// Registry is told to whoever subscribes; nil for none.
	Registry *registry.Registry
	// Silence is that of the links, zero for the default.
	Silence time.Duration
}

// Join is how a member finds its group.
type Join struct {
	// Seeds are link addresses of members, Self this member's own.
	Seeds []string
	Self  string
}

// Role is a running control role.
type Role struct {
	member   *Member
	links    *Links
	cancel   context.CancelFunc
	wg       conc.WaitGroup
	server   *fasthttp.Server
	sessions *Server
	operator *fiber.App
	executor *executor
	// listeners are those of server and operator.
	listeners []net.Listener
	once      sync.Once
	err       error
	ended     chan struct{}
}

// Codec knows the messages of control links.
var Codec = wire.NewCodec(slices.Concat(Protos(), registry.Protos())...)

// LinkOptions gives the options of a control link for a process in some role.
func LinkOptions(key []byte, self link.Peer, observer link.Observer) link.Options {
	return link.Options{Key: key, Self: self, Codec: Codec, Observer: observer}
}

// Start runs the role until Stop is called or its storage fails.
func Start(s Settings) (*Role, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Role{cancel: cancel, ended: make(chan struct{})}
	self := link.Peer{Instance: s.Instance, Zone: s.Zone, Role: link.RoleControl, Start: uint64(s.ID)}
	opt := LinkOptions(s.Key, self, s.LinkObserver)
	opt.Silence = s.Silence
	r.links = NewLinks(ctx, s.ID, opt, func(m consensus.Message) { r.member.Receive(m) })
	var err error
	r.member, err = NewMember(Options{
		ID:              s.ID,
		Restored:        s.Restored,
		Consensus:       consensus.Config{MaxBatchBytes: batchBytes, EarlySend: true, Rand: rand.New(rand.NewPCG(rand.Uint64(), uint64(s.ID)))},
		Limits:          s.Limits,
		Retries:         s.Retries,
		Storage:         s.Storage,
		Transport:       deferred{r},
		Validate:        s.Validate,
		Pace:            s.Pace,
		Observer:        s.Observer,
		SnapshotEntries: s.SnapshotEntries,
		Mend:            s.Join != nil,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	r.serve(ctx, s, opt)
	return r, nil
}

// batchBytes bounds one entry of the log. It is above the largest document that
// state.DefaultConfigLimits lets through: with the agreement's own default a
// fleet of 1,700 customers passed that check and was then refused.
const batchBytes = 1 << 20

// deferred sends by the role's links.
type deferred struct{ r *Role }

func (d deferred) Send(m consensus.Message)       { d.r.links.Send(m) }
func (d deferred) Members(g consensus.Membership) { d.r.links.Members(g) }

func (r *Role) serve(ctx context.Context, s Settings, opt link.Options) {
	r.sessions = NewServer(ctx, r.member, r.links)
	r.sessions.registry = s.Registry
	acceptor := link.NewAcceptor(opt, r.sessions.Serve)
	r.server = &fasthttp.Server{Handler: acceptor.Handler}
	r.listeners = append(r.listeners, s.Link)
	r.wg.Go(func() { _ = r.server.Serve(s.Link) })
	r.wg.Go(func() {
		r.err = r.member.Run(ctx)
		close(r.ended)
	})
	if s.Operator == nil && s.Join == nil {
		return
	}
	r.executor = &executor{member: r.member, forward: NewClient(ClientOptions{Seeds: s.forwardSeeds(), Not: s.notDialled(), Link: opt})}
	r.wg.Go(func() { r.executor.forward.Run(ctx) })
	if s.Join != nil {
		r.wg.Go(func() { keepJoined(ctx, r.executor, s.Join.Self) })
	}
	if s.Operator != nil {
		r.serveOperators(ctx, s)
	}
}

// forwardSeeds gives where this member looks for the leader. A member that joins
// by itself may hold nothing, and would only tell itself that it knows of no
// leader, so it asks others.
func (s *Settings) forwardSeeds() []string {
	own := s.Link.Addr().String()
	if s.Join == nil {
		return []string{own}
	}
	others := slices.DeleteFunc(slices.Clone(s.Join.Seeds), func(a string) bool { return a == s.Join.Self })
	if len(others) == 0 {
		return []string{own}
	}
	return others
}

func (s *Settings) notDialled() string {
	if s.Join == nil {
		return ""
	}
	return s.Join.Self
}

func (r *Role) serveOperators(ctx context.Context, s Settings) {
	operator := NewOperator(r.executor, s.Token)
	r.operator = operator.App()
	r.listeners = append(r.listeners, s.Operator)
	info := state.MemberInfo{ID: uint64(s.ID), Operator: s.OperatorAddr, Zone: s.Zone}
	r.wg.Go(func() { tellSelf(ctx, r.executor, info) })
	r.wg.Go(func() {
		_ = r.operator.Listener(s.Operator, fiber.ListenConfig{DisableStartupMessage: true})
	})
}

// Exec carries out a request here, or at the leader when that is elsewhere. It
// needs Join or Operator in the settings.
func (r *Role) Exec(ctx context.Context, req Request) *Reply { return r.executor.within(ctx, req) }

const tellPause = time.Second

// tellSelf tells the group where this member's operators connect, until that is
// recorded. A member that waits to be added tries on meanwhile.
func tellSelf(ctx context.Context, x *executor, info state.MemberInfo) {
	for ctx.Err() == nil {
		r := x.within(ctx, Request{Command: &state.Command{Member: &info}})
		if r.Outcome == api.OutcomeCompleted {
			return
		}
		sleep(ctx, tellPause)
	}
}

// closeListeners closes what the servers' own shutdown may have missed: one that
// is shut down before its goroutine has taken the listener closes nothing and
// listens for ever.
func (r *Role) closeListeners() {
	for _, ln := range r.listeners {
		_ = ln.Close()
	}
}

// Member gives the role's member.
func (r *Role) Member() *Member { return r.member }

// Ended is closed when the member has stopped, by Stop or by a failure.
func (r *Role) Ended() <-chan struct{} { return r.ended }

// Stop ends the role and waits for all of it. It gives the failure that ended
// the member before, if there was one.
func (r *Role) Stop() error {
	r.once.Do(func() {
		r.cancel()
		_ = r.server.Shutdown()
		if r.operator != nil {
			_ = r.operator.Shutdown()
		}
		r.closeListeners()
		r.wg.Wait()
		r.links.Wait()
		r.sessions.Wait()
	})
	return r.err
}
