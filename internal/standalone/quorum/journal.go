package quorum

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/pathtally/pathtally/internal/standalone/recordlog"
	"github.com/pathtally/pathtally/internal/wire"
)

// journalPrefix precedes the number of a segment in its name.
const journalPrefix = "quorum-"

// compactAfter is the number of entries above which a segment is replaced by a
// snapshot.
const compactAfter = 20000

// journalEntry is one durable change of a member's state. Only the fields that
// changed are set.
type journalEntry struct {
	Identity uint64               `json:"identity,omitempty"`
	View     *View                `json:"view,omitempty"`
	Serving  uint64               `json:"serving,omitempty"`
	Sealed   uint64               `json:"sealed,omitempty"`
	Claim    *wire.ClaimRecord    `json:"claim,omitempty"`
	Register *wire.RegisterRecord `json:"register,omitempty"`
}

// Journal keeps a member's state in a record log, so that a process restarted
// with the same data folder recovers all grants and promises.
type Journal struct {
	log recordlog.Log
	// segment is the number of the current segment, entries its length.
	segment  int
	entries  int
	identity uint64
	// restored holds the recovered entries until the member has replayed them.
	restored []journalEntry
}

// OpenJournal reads the journal of a data folder or creates one.
func OpenJournal(log recordlog.Log, random *rand.Rand) (*Journal, error) {
	records, err := log.Recover()
	if err != nil {
		return nil, err
	}
	journal := &Journal{log: log}
	for _, record := range records {
		number, isJournal := strings.CutPrefix(record.Segment, journalPrefix)
		if !isJournal {
			continue
		}
		segment, err := strconv.Atoi(number)
		if err != nil {
			continue
		}
		journal.segment = max(journal.segment, segment)
		var entry journalEntry
		if json.Unmarshal(record.Data, &entry) == nil {
			journal.restored = append(journal.restored, entry)
		}
	}
	for _, entry := range journal.restored {
		if entry.Identity != 0 {
			journal.identity = entry.Identity
		}
	}
	if journal.identity == 0 {
		journal.identity = random.Uint64() | 1
		journal.append(journalEntry{Identity: journal.identity}, func(error) {})
	}
	return journal, nil
}

// Identity returns the storage identity of the data folder. A folder that was
// lost and created anew has another one.
func (j *Journal) Identity() uint64 { return j.identity }

func (j *Journal) segmentName() string { return fmt.Sprintf("%s%08d", journalPrefix, j.segment) }

func (j *Journal) append(entry journalEntry, done func(error)) {
	data, err := json.Marshal(entry)
	if err != nil {
		done(err)
		return
	}
	j.entries++
	j.log.Append(j.segmentName(), data, done)
}

// compact writes the current state to a new segment and removes the old one once
// the last entry is durable.
func (j *Journal) compact(state []journalEntry) {
	old := j.segmentName()
	j.segment++
	j.entries = 0
	for i, entry := range state {
		last := i == len(state)-1
		j.append(entry, func(err error) {
			if last && err == nil {
				j.log.Remove(old)
			}
		})
	}
}
