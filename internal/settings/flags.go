package settings

import (
	"flag"
	"strings"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
)

// Register adds the flags that override settings of the file; settings without
// one are set in the file only.
func (s *Settings) Register(flags *flag.FlagSet) {
	flags.StringVar(&s.Node, "node", "", "name of the node")
	flags.StringVar(&s.Zone, "zone", "", "zone that the node is in")
	flags.StringVar(&s.Region, "region", "", "region that the node is in")
	flags.StringVar(&s.Peer, "peer", "", "address for other nodes, IP and port")
	flags.StringVar(&s.PeerAdvertised, "peer-advertised", "", "address that other nodes are told, if it differs from -peer")
	flags.StringVar(&s.HTTP, "http", "", "address for callers, IP and port")
	flags.Func("seeds", "peer addresses to join through, separated by commas", func(text string) error {
		s.Seeds = strings.Split(text, ",")
		return nil
	})
	flags.StringVar(&s.Platform, "platform", "", "address of the object API, IP and port")
	flags.StringVar(&s.ObjectStore, "object-store", "", "address of a metadata store to run on instead of -platform, IP and port")
	flags.StringVar(&s.Readiness, "readiness", "", "address that tells whether the node takes callers, IP and port")
	flags.StringVar(&s.Metrics, "metrics", "", "address of the node's figures, IP and port")
	flags.StringVar(&s.DataFolder, "data-folder", "", "folder for samples; empty keeps none")
	flags.Func("grace", "how long a planned stop waits for requests", func(text string) error {
		span, err := time.ParseDuration(text)
		s.Grace = v1.Duration(span)
		return err
	})
}

// overlay replaces what the flags give.
func (s *Settings) overlay(given Settings) {
	for _, pair := range []struct{ into, from *string }{
		{&s.Node, &given.Node}, {&s.Zone, &given.Zone}, {&s.Region, &given.Region}, {&s.Peer, &given.Peer},
		{&s.HTTP, &given.HTTP}, {&s.PeerAdvertised, &given.PeerAdvertised}, {&s.Platform, &given.Platform}, {&s.DataFolder, &given.DataFolder},
		{&s.ObjectStore, &given.ObjectStore}, {&s.Readiness, &given.Readiness}, {&s.Metrics, &given.Metrics},
	} {
		if *pair.from != "" {
			*pair.into = *pair.from
		}
	}
	if given.Seeds != nil {
		s.Seeds = given.Seeds
	}
	if given.Grace != 0 {
		s.Grace = given.Grace
	}
}
