package settings

import (
	"flag"
	"strings"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
)

// Register adds the flags that override settings of the file. Some settings have no flag.
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
		duration, err := time.ParseDuration(text)
		s.Grace = v1.Duration(duration)
		return err
	})
}

// applyFlags replaces the settings that are set by flags. An empty flag sets nothing.
func (s *Settings) applyFlags(flags Settings) {
	for _, pair := range []struct{ to, from *string }{
		{&s.Node, &flags.Node}, {&s.Zone, &flags.Zone}, {&s.Region, &flags.Region}, {&s.Peer, &flags.Peer},
		{&s.HTTP, &flags.HTTP}, {&s.PeerAdvertised, &flags.PeerAdvertised}, {&s.Platform, &flags.Platform}, {&s.DataFolder, &flags.DataFolder},
		{&s.ObjectStore, &flags.ObjectStore}, {&s.Readiness, &flags.Readiness}, {&s.Metrics, &flags.Metrics},
	} {
		if *pair.from != "" {
			*pair.to = *pair.from
		}
	}
	if flags.Seeds != nil {
		s.Seeds = flags.Seeds
	}
	if flags.Grace != 0 {
		s.Grace = flags.Grace
	}
}
