package main

import (
	"errors"

	"almondseam.dev/core/api"
	"almondseam.dev/node/process"
	"github.com/alecthomas/kingpin/v2"
)

// controlSettings are the flags of the control role.
type controlSettings struct {
	dir       string
	links     string
	advertise string
	operators string
	token     string
	tokenFile string
}

func (s *controlSettings) flags(c *kingpin.CmdClause) {
	c.Flag("data-dir", "control: the data folder; losing it makes this a new member.").StringVar(&s.dir)
	c.Flag("control-listen", "control: address for other members and for entries.").Default("127.0.0.1:7401").StringVar(&s.links)
	c.Flag("control-advertise", "control: address by which other members dial this one, if it is not that of --control-listen.").StringVar(&s.advertise)
	c.Flag("operator-listen", "control: address for almondctl.").Default("127.0.0.1:7402").StringVar(&s.operators)
	c.Flag("operator-token", "control: token that lets operators in; better given by --operator-token-file.").StringVar(&s.token)
	c.Flag("operator-token-file", "control: file that holds the operator token.").StringVar(&s.tokenFile)
}

func (s *controlSettings) check() error {
	if s.dir == "" {
		return errors.New("--data-dir: the control role needs a data folder")
	}
	return loadSecret("operator-token", s.tokenFile, &s.token)
}

func (n *node) newControl() (*process.Control, error) {
	s := &n.set.control
	links, err := listen("control-listen", s.links)
	if err != nil {
		return nil, err
	}
	operators, err := listen("operator-listen", s.operators)
	if err != nil {
		return nil, err
	}
	return process.NewControl(process.ControlSettings{
		Instance:  api.InstanceID(n.set.instance),
		Zone:      n.set.zoneID(),
		Key:       []byte(n.set.key),
		Token:     s.token,
		Dir:       s.dir,
		Links:     links,
		Operator:  operators,
		Inbound:   n.inbound,
		Advertise: s.advertise,
	}, n.metrics, n.log)
}
