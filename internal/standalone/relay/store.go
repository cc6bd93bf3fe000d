package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// historyLength is the number of past versions that a delta can start from.
	historyLength = 64
	// pullTimeout bounds one pull from a peer.
	pullTimeout = 2 * time.Second
)

// Config holds the dependencies of a Store.
type Config struct {
	Peers environment.Peers
	// OnChange is called with each document that the store accepts.
	OnChange func(*Document)
}

// Store holds the newest version of each document known to this node. It is
// not safe for concurrent use.
type Store struct {
	config  Config
	states  map[string]*documentState
	pulling map[string]bool
}

type documentState struct {
	current *Document
	history []change
}

// change lists the keys that differ between version from and the next one held.
type change struct {
	from uint64
	keys []string
}

// NewStore returns an empty store.
func NewStore(config Config) *Store {
	return &Store{config: config, states: map[string]*documentState{}, pulling: map[string]bool{}}
}

// Get returns the newest version held, or nil.
func (s *Store) Get(name string) *Document {
	state := s.states[name]
	if state == nil {
		return nil
	}
	return state.current
}

// Publish stores a document if its version is greater than the one held, and
// reports whether it did.
func (s *Store) Publish(document *Document) bool {
	state := s.states[document.Name]
	if state == nil {
		state = &documentState{}
		s.states[document.Name] = state
	}
	if state.current != nil && document.Version <= state.current.Version {
		return false
	}
	if state.current != nil {
		keys := changedKeys(state.current.Entries, document.Entries)
		state.history = append(state.history, change{from: state.current.Version, keys: keys})
		state.history = state.history[max(0, len(state.history)-historyLength):]
	}
	state.current = document
	s.config.OnChange(document)
	return true
}

// Versions returns the versions held, sorted by document name.
func (s *Store) Versions() []wire.DocumentVersion {
	versions := make([]wire.DocumentVersion, 0, len(s.states))
	for _, name := range slices.Sorted(maps.Keys(s.states)) {
		versions = append(versions, wire.DocumentVersion{Name: name, Version: s.states[name].current.Version})
	}
	return versions
}

// PullNewer pulls from a peer the documents that it holds in a newer version.
func (s *Store) PullNewer(address string, versions []wire.DocumentVersion) {
	for _, version := range versions {
		have := s.version(version.Name)
		if version.Version > have {
			s.pull(address, version.Name, have)
		}
	}
}

func (s *Store) version(name string) uint64 {
	if document := s.Get(name); document != nil {
		return document.Version
	}
	return 0
}

func (s *Store) pull(address, name string, have uint64) {
	if s.pulling[name] {
		return
	}
	s.pulling[name] = true
	request := &wire.DocumentPull{Name: name, Have: have}
	s.config.Peers.Call(address, request, pullTimeout, func(message wire.Message, err error) {
		delete(s.pulling, name)
		reply, ok := message.(*wire.DocumentReply)
		if err != nil || !ok {
			return
		}
		if !s.accept(reply) && reply.Base != 0 && reply.Version > s.version(name) {
			// The delta could not be applied: pull the full document.
			s.pull(address, name, 0)
		}
	})
}

// accept applies a reply and reports whether the document was stored. It rejects
// a delta whose base version is not held, and entries whose digest differs from
// the sender's.
func (s *Store) accept(reply *wire.DocumentReply) bool {
	entries := map[string][]byte{}
	if reply.Base != 0 {
		current := s.Get(reply.Name)
		if current == nil || current.Version != reply.Base {
			return false
		}
		entries = maps.Clone(current.Entries)
	}
	for _, entry := range reply.Upserts {
		entries[entry.Key] = entry.Data
	}
	for _, key := range reply.Removed {
		delete(entries, key)
	}
	document := NewDocument(reply.Name, reply.Version, entries)
	if document.Digest != reply.Digest {
		return false
	}
	return s.Publish(document)
}

// HandlePull replies with the changes since the caller's version, or with the
// full document if the history does not contain that version.
func (s *Store) HandlePull(pull *wire.DocumentPull) wire.Message {
	state := s.states[pull.Name]
	if state == nil {
		return &wire.Failure{Code: uint16(wire.CodeNotServing), Detail: "no document " + pull.Name}
	}
	current := state.current
	reply := &wire.DocumentReply{Name: pull.Name, Version: current.Version, Digest: current.Digest}
	keys, found := state.keysSince(pull.Have)
	if found {
		reply.Base = pull.Have
	} else {
		keys = slices.Sorted(maps.Keys(current.Entries))
	}
	for _, key := range keys {
		data, exists := current.Entries[key]
		if !exists {
			reply.Removed = append(reply.Removed, key)
			continue
		}
		reply.Upserts = append(reply.Upserts, wire.Entry{Key: key, Data: data})
	}
	return reply
}

// keysSince returns the sorted keys changed since a version, and whether the
// history contains that version.
func (s *documentState) keysSince(version uint64) ([]string, bool) {
	changed := map[string]bool{}
	for i := len(s.history) - 1; i >= 0; i-- {
		for _, key := range s.history[i].keys {
			changed[key] = true
		}
		if s.history[i].from == version {
			return slices.Sorted(maps.Keys(changed)), true
		}
	}
	return nil, false
}
