package main

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/agent"
	"almondseam.dev/node/process"
	"github.com/alecthomas/kingpin/v2"
)

// The roles of a process.
const (
	roleEntry   = "entry"
	roleAgent   = "agent"
	roleControl = "control"
)

// settings are the flags of `run`. Each can also be set by an environment variable whose
// name is ALMONDSEAM_ and the flag's name in capitals, such as ALMONDSEAM_FLEET_KEY.
type settings struct {
	roles        []string
	instance     string
	zone         string
	site         string
	key          string
	keyFile      string
	logLevel     string
	drainTimeout time.Duration
	// drainGiven is set if --drain was given, which then overrides the
	// configuration.
	drainGiven bool
	ops        string
	// memoryMB is what clients of the process are kept within; memoryGiven is set if --memory-mb was given.
	memoryMB    int
	memoryGiven bool
	// drainDelay is the time for which an entry that is told to stop still serves
	// before the drain starts.
	drainDelay time.Duration

	callers     string
	links       string
	configFiles []string

	entryPeers map[string]string

	controlMembers []string
	control        controlSettings

	linkAdvertise string
	linkCount     int

	seeds         []string
	target        string
	targetAddress string
	models        []string
	services      []string
	capacity      int
	batch         int
	queue         int
	prefill       int
	priority      bool
	checksFence   bool
}

func (s *settings) flags(c *kingpin.CmdClause) {
	c.Flag("role", "Role of the process; may be given more than once.").Required().EnumsVar(&s.roles, roleEntry, roleAgent, roleControl)
	c.Flag("instance", "Name of this instance, unique in the fleet.").Required().StringVar(&s.instance)
	c.Flag("zone", "Availability zone of this instance.").Required().StringVar(&s.zone)
	c.Flag("site", "Site whose overlay applies here.").StringVar(&s.site)
	c.Flag("fleet-key", "Key that all processes of the fleet share; better given by --fleet-key-file.").StringVar(&s.key)
	c.Flag("fleet-key-file", "File that holds the fleet key.").StringVar(&s.keyFile)
	c.Flag("log-level", "Least level that is logged.").Default("info").EnumVar(&s.logLevel, "debug", "info", "warn", "error")
	c.Flag("drain", "Longest time a graceful stop waits for requests in progress; limits.drain goes for an entry or agent when it is not given.").Default("10m").IsSetByUser(&s.drainGiven).DurationVar(&s.drainTimeout)
	c.Flag("drain-delay", "Time for which a process that is told to stop goes on as before, with /readyz at 503, so that the balancer takes it out first.").Default("2s").DurationVar(&s.drainDelay)
	c.Flag("ops-listen", "Address for metrics, /healthz and /readyz.").Default("127.0.0.1:0").StringVar(&s.ops)
	c.Flag("memory-mb", "Memory that clients of the process are kept within, in MB.").Default("134").IsSetByUser(&s.memoryGiven).IntVar(&s.memoryMB)
	c.Flag("listen", "entry: address for callers.").Default("127.0.0.1:8080").StringVar(&s.callers)
	c.Flag("link-listen", "entry: address for agents.").Default("127.0.0.1:8081").StringVar(&s.links)
	c.Flag("entry-peer", "entry: another entry that shares the customers' limits, INSTANCE=HOST:PORT with the address of its links; each entry must name all others.").StringMapVar(&s.entryPeers)
	c.Flag("config", "entry: configuration file, the base first and then the site's overlay; instead of a control group.").StringsVar(&s.configFiles)
	c.Flag("control", "entry: link address of a control member, a host name is resolved at each dial; may be given more than once.").StringsVar(&s.controlMembers)
	s.control.flags(c)
	c.Flag("link-advertise", "entry: address under which agents reach --link-listen; the one it listens on by default.").StringVar(&s.linkAdvertise)
	c.Flag("links", "agent: number of entries to link to, once the seeds have told of all of them.").Default("8").IntVar(&s.linkCount)
	c.Flag("seed", "agent: link address of an entry, a host name is resolved at each dial; may be given more than once.").StringsVar(&s.seeds)
	c.Flag("target", "agent: name of the target, unique in the fleet.").StringVar(&s.target)
	c.Flag("target-address", "agent: address of the target, HOST:PORT.").StringVar(&s.targetAddress)
	c.Flag("model", "agent: model that the target serves; may be given more than once.").StringsVar(&s.models)
	c.Flag("service", "agent: plain service that the target serves; may be given more than once.").StringsVar(&s.services)
	c.Flag("capacity", "agent: memory of the engine in tokens.").Default("40000").IntVar(&s.capacity)
	c.Flag("engine-batch", "agent: largest number of sequences that the engine runs at once.").Default("256").IntVar(&s.batch)
	c.Flag("queue", "agent: requests that may wait here; one customer may fill half of it. 0 takes policy.shed.queue_length.").Default("0").IntVar(&s.queue)
	c.Flag("prefill", "agent: prompt tokens computed at once; less keeps the gaps between tokens short, more brings first tokens sooner in a burst. 0 takes the default.").Default("0").IntVar(&s.prefill)
	c.Flag("engine-priority", "agent: the engine honours the priority field.").BoolVar(&s.priority)
	c.Flag("target-checks-fence", "agent: the target itself refuses orders with an old fence. Changes nothing yet: every target is treated as one that does not.").BoolVar(&s.checksFence)
}

func (s *settings) has(role string) bool {
	for _, r := range s.roles {
		if r == role {
			return true
		}
	}
	return false
}

// check loads the secrets and checks what kingpin cannot, such as flags that depend on
// each other. Its errors name the flag.
func (s *settings) check() error {
	if err := s.loadKey(); err != nil {
		return err
	}
	if s.memoryMB <= 0 {
		return errors.New("--memory-mb: must be positive")
	}
	if s.has(roleAgent) {
		if err := s.checkAgent(); err != nil {
			return err
		}
	}
	if s.has(roleControl) {
		if err := s.control.check(); err != nil {
			return err
		}
	}
	if s.has(roleEntry) && (len(s.configFiles) == 0) == (len(s.controlMembers) == 0) {
		return errors.New("--control or --config: the entry role needs its configuration from one of them")
	}
	return nil
}

// peers returns the other entries, sorted by name.
func (s *settings) peers() []process.EntryPeer {
	var out []process.EntryPeer
	for _, id := range slices.Sorted(maps.Keys(s.entryPeers)) {
		out = append(out, process.EntryPeer{Instance: api.InstanceID(id), Addr: s.entryPeers[id]})
	}
	return out
}

func (s *settings) checkAgent() error {
	switch {
	case s.target == "":
		return errors.New("--target: the agent role needs the target's name")
	case s.targetAddress == "":
		return errors.New("--target-address: the agent role needs the target's address")
	case len(s.seeds) == 0:
		return errors.New("--seed: the agent role needs the link address of at least one entry")
	case len(s.models)+len(s.services) == 0:
		return errors.New("--model or --service: the agent role needs to know what the target serves")
	case s.capacity <= 0:
		return errors.New("--capacity: must be positive")
	case s.batch <= 0:
		return errors.New("--engine-batch: must be positive")
	case s.queue < 0:
		return errors.New("--queue: must not be negative")
	}
	for _, addr := range append([]string{s.targetAddress}, s.seeds...) {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("--seed, --target-address: %w", err)
		}
	}
	return nil
}

// linkAddress returns the address that agents are told to dial.
func (s *settings) linkAddress(ln net.Listener) string {
	if s.linkAdvertise != "" {
		return s.linkAdvertise
	}
	return ln.Addr().String()
}

const minSecretLength = 16

func (s *settings) loadKey() error { return loadSecret("fleet-key", s.keyFile, &s.key) }

// loadSecret reads a secret from its file, if one is given, and rejects a secret that is
// too short.
func loadSecret(flag, file string, secret *string) error {
	if file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("--%s-file: %w", flag, err)
		}
		*secret = strings.TrimSpace(string(b))
	}
	if len(*secret) < minSecretLength {
		return fmt.Errorf("--%s or --%s-file: at least %d characters are needed", flag, flag, minSecretLength)
	}
	return nil
}

func convertStrings[T ~string](in []string) []T {
	out := make([]T, len(in))
	for i, v := range in {
		out[i] = T(v)
	}
	return out
}

func (s *settings) capabilities() agent.Capabilities {
	return agent.Capabilities{Priority: s.priority, ChecksFence: s.checksFence}
}

func (s *settings) zoneID() api.Zone { return api.Zone(s.zone) }
