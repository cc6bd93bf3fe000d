package instance

import (
	"net"

	"github.com/pathtally/pathtally/internal/settings"
)

// listeners are the open listeners of a node; those without an address are nil.
type listeners struct {
	http, peer, readiness, metrics net.Listener
}

// open listens on the addresses of the settings and replaces each of them by the address of
// its listener, which has the port that the system chose.
func (l *listeners) open(configured *settings.Settings) error {
	for _, wanted := range []struct {
		setting  string
		address  *string
		listener *net.Listener
	}{
		{"http", &configured.HTTP, &l.http}, {"peer", &configured.Peer, &l.peer},
		{"readiness", &configured.Readiness, &l.readiness}, {"metrics", &configured.Metrics, &l.metrics},
	} {
		if *wanted.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", *wanted.address)
		if err != nil {
			l.close()
			return &settings.ListenError{Setting: wanted.setting, Address: *wanted.address, Cause: err}
		}
		*wanted.listener, *wanted.address = listener, listener.Addr().String()
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.http, l.peer, l.readiness, l.metrics} {
		if listener != nil {
			listener.Close()
		}
	}
}
