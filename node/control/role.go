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
	"almondseam.dev/node/inbound"
	"almondseam.dev/node/link"
	"almondseam.dev/node/origins"
	"almondseam.dev/node/registry"
	"almondseam.dev/node/wire"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Settings configures a process's control role.
type Settings struct {
	// ID, Restored and Storage come from the data directory.
	ID       consensus.MemberID
	Restored consensus.Restored
	Storage  Storage
	// Link accepts links of other members and of entries. Operator accepts HTTP
	// requests of operators; it may be nil.
	Link     net.Listener
	Operator net.Listener
	// Inbound bounds what the clients of both occupy; nil sets no bounds.
	Inbound *inbound.Process
	// OperatorAddr is the address of this member's operator interface, as operators
	// are told it.
	OperatorAddr string
	Zone         api.Zone
	Instance     api.InstanceID
	Key          []byte
	Token        string
	Validate     Validator
	Pace         Pacer
	Observer     Observer
	LinkObserver link.Observer
	// ClientObserver is notified of what the client that forwards operators' requests meets; it may
	// be nil.
	ClientObserver ClientObserver
	Limits         state.Limits
	// Retries is Options.Retries.
	Retries retrybudget.Limits
	// SnapshotEntries is Options.SnapshotEntries.
	SnapshotEntries uint64
	// Join makes this member join its group, and manage the group's membership while
	// it is the leader, without an operator; nil leaves both to an operator.
	Join *Join
	// Registry holds the targets that announce themselves, for clients that subscribe
	// to them; nil for none.
	Registry *registry.Registry
	// Origins keeps the origins of streams that entries report; nil for none.
	Origins *origins.Keeper
	// Silence is the silence timeout of the links, zero for the default.
	Silence time.Duration
	// NetDial is link.Options.NetDial.
	NetDial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Join holds the addresses by which a member finds its group.
type Join struct {
	// Seeds are link addresses of members, Self is this member's own.
	Seeds []string
	Self  string
	// ReadSeeds returns the seeds as they are set now; see ClientOptions. It may be nil.
	ReadSeeds func() []string
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
	// listeners are the listeners of server and operator.
	listeners []net.Listener
	stopOnce  sync.Once
	err       error
	ended     chan struct{}
}

// Codec encodes and decodes the messages of control links.
var Codec = wire.NewCodec(slices.Concat(Protos(), registry.Protos(), origins.Protos())...)

// LinkOptions returns the options of a control link for the process self.
func LinkOptions(key []byte, self link.Peer, observer link.Observer) link.Options {
	return link.Options{Key: key, Self: self, Codec: Codec, MaxMessage: maxLinkMessage, Observer: observer}
}

// maxLinkMessage bounds a message of a control link in bytes. The largest is a whole document, on
// its way to the leader or to an entry.
const maxLinkMessage = 8 << 20

// Start runs the role until Stop is called or its storage fails.
func Start(s Settings) (*Role, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Role{cancel: cancel, ended: make(chan struct{})}
	self := link.Peer{Instance: s.Instance, Zone: s.Zone, Role: link.RoleControl, Start: uint64(s.ID)}
	opt := LinkOptions(s.Key, self, s.LinkObserver)
	opt.Silence, opt.NetDial = s.Silence, s.NetDial
	r.links = NewLinks(ctx, s.ID, opt, func(m consensus.Message) { r.member.Receive(m) })
	var err error
	r.member, err = NewMember(Options{
		ID:              s.ID,
		Restored:        s.Restored,
		Consensus:       consensusConfig(s.ID, s.Limits),
		Limits:          s.Limits,
		Retries:         s.Retries,
		Storage:         s.Storage,
		Transport:       roleTransport{r},
		Validate:        s.Validate,
		Pace:            s.Pace,
		Observer:        s.Observer,
		SnapshotEntries: s.SnapshotEntries,
		ManageMembers:   s.Join != nil,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	r.serve(ctx, s, opt)
	return r, nil
}

// commandBytes is the room of a log entry for everything except a document.
const commandBytes = 1 << 20

// uncommittedEntries is the number of log entries of the largest size that may wait to be
// committed together.
const uncommittedEntries = 2

// consensusConfig returns the settings of a member's consensus node. Every document that the state
// accepts fits in a log entry.
func consensusConfig(id consensus.MemberID, l state.Limits) consensus.Config {
	entry := l.Config.MaxDocument + commandBytes
	return consensus.Config{
		MaxEntryBytes:       entry,
		MaxUncommittedBytes: max(consensus.DefaultMaxUncommittedBytes, uncommittedEntries*entry),
		EarlySend:           true,
		Rand:                rand.New(rand.NewPCG(rand.Uint64(), uint64(id))),
	}
}

// roleTransport implements Transport with the links of a role.
type roleTransport struct{ role *Role }

func (t roleTransport) Send(m consensus.Message)       { t.role.links.Send(m) }
func (t roleTransport) Members(g consensus.Membership) { t.role.links.Members(g) }

func (r *Role) serve(ctx context.Context, s Settings, opt link.Options) {
	r.sessions = NewServer(ctx, r.member, r.links)
	r.sessions.registry, r.sessions.origins = s.Registry, s.Origins
	acceptor := link.NewAcceptor(opt, r.sessions.Serve)
	r.server = &fasthttp.Server{Handler: acceptor.Handler}
	r.listeners = append(r.listeners, s.Link)
	links := s.Inbound.Listen(s.Link, "links", linkShare)
	r.wg.Go(func() { _ = links.ServeFast(r.server, inbound.Options{}) })
	r.wg.Go(func() {
		r.err = r.member.Run(ctx)
		close(r.ended)
	})
	if s.Operator == nil && s.Join == nil {
		return
	}
	r.executor = &executor{member: r.member, forward: NewClient(ClientOptions{
		Seeds: s.forwardSeeds(), ReadSeeds: s.readSeeds(), AvoidAddr: s.ownAddr(), Link: opt, Observer: s.ClientObserver,
	})}
	r.wg.Go(func() { r.executor.forward.Run(ctx) })
	if s.Join != nil {
		r.wg.Go(func() { keepJoined(ctx, r.executor, s.Join.Self) })
	}
	if s.Operator != nil {
		r.serveOperators(ctx, s)
	}
}

// forwardSeeds returns the addresses at which this member looks for the leader. A
// member with Join may hold no state, and asking itself would only yield that it knows
// no leader, so it asks the other members.
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

// readSeeds returns ClientOptions.ReadSeeds for the client that forwards requests. AvoidAddr keeps it from
// this member's own address.
func (s *Settings) readSeeds() func() []string {
	if s.Join == nil {
		return nil
	}
	return s.Join.ReadSeeds
}

func (s *Settings) ownAddr() string {
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
	r.wg.Go(func() { registerMember(ctx, r.executor, info) })
	operators := s.Inbound.Listen(s.Operator, "operators", operatorShare)
	r.wg.Go(func() {
		_ = operators.ServeFiber(r.operator, inbound.Options{MaxBody: operatorBodyLimit, Refuse: refuseOperator})
	})
}

// Exec executes a request at this member, or at the leader if that is another member.
// It requires Join or Operator in the settings.
func (r *Role) Exec(ctx context.Context, req Request) *Reply { return r.executor.runContext(ctx, req) }

// linkShare and operatorShare are the sixteenths of a process's connections that links and operators may occupy.
const (
	linkShare     = 4
	operatorShare = 1
)

const registerRetryInterval = time.Second

// registerMember records the address of this member's operator interface in the
// replicated state. It retries until that succeeds, for example while the member waits
// to be added to the group.
func registerMember(ctx context.Context, x *executor, info state.MemberInfo) {
	for ctx.Err() == nil {
		r := x.runContext(ctx, Request{Command: &state.Command{Member: &info}})
		if r.Outcome == api.OutcomeCompleted {
			return
		}
		sleep(ctx, registerRetryInterval)
	}
}

// closeListeners closes listeners that the shutdown of the servers may have missed: a
// server that is shut down before its goroutine has called Serve does not close the
// listener, which would then stay open.
func (r *Role) closeListeners() {
	for _, ln := range r.listeners {
		_ = ln.Close()
	}
}

// Member returns the role's member.
func (r *Role) Member() *Member { return r.member }

// Ended returns a channel that is closed when the member has stopped, by Stop or
// because of a failure.
func (r *Role) Ended() <-chan struct{} { return r.ended }

// Stop stops the role and waits for all its goroutines. It returns the error that
// stopped the member before, if there was one.
func (r *Role) Stop() error {
	r.stopOnce.Do(func() {
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
