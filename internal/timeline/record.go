package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"
)

// The messages that are read, as packages batch, directory and weightorders log
// them.
const (
	messageStarted   = "batch job started"
	messageTakenOver = "batch job taken over"
	messageEnded     = "batch job ended"
	messageLate      = "batch job was late"
	messageListed    = "results listed"
	messageFinished  = "item finished"
	messageEarly     = "run ended early"
	messageNamed     = "weight version named"
	messageLoaded    = "replica brought to version"
)

// record holds the fields read of one log line. Fields ending in Ms are in
// milliseconds.
type record struct {
	// at is when it was written, in seconds from the first line read.
	at float64

	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Job     string    `json:"job"`
	Group   string    `json:"group"`
	Replica string    `json:"replica"`
	Model   string    `json:"model"`
	Error   string    `json:"error"`
	Reason  string    `json:"reason"`

	Step       int   `json:"step"`
	MinVersion int64 `json:"minVersion"`
	Version    int64 `json:"version"`
	Desired    int   `json:"desired"`
	Items      int   `json:"items"`
	Results    int   `json:"results"`

	FirstMs   float64 `json:"firstMs"`
	TookMs    float64 `json:"tookMs"`
	RewardMs  float64 `json:"rewardMs"`
	FromEvent int     `json:"fromEvent"`
	Events    int     `json:"events"`
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// readRecords reads the log lines in a stream and skips lines of other forms. A
// number in front of a line is its time in seconds; without one the time in the
// line counts.
func readRecords(source io.Reader) ([]record, error) {
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var records []record
	var begun time.Time
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		if start < 0 {
			continue
		}
		var read record
		if json.Unmarshal(lines.Bytes()[start:], &read) != nil || read.Message == "" {
			continue
		}
		if begun.IsZero() {
			begun = read.Time
		}
		read.at = read.Time.Sub(begun).Seconds()
		if fields := bytes.Fields(lines.Bytes()[:start]); len(fields) > 0 {
			if seconds, err := strconv.ParseFloat(string(fields[0]), 64); err == nil {
				read.at = seconds
			}
		}
		records = append(records, read)
	}
	return records, lines.Err()
}

// began is when the run that a line tells of began, in seconds.
func (r record) began() float64 { return r.ended() - seconds(r.TookMs) }

// ended is when the run ended, in seconds.
func (r record) ended() float64 { return r.at - seconds(r.RewardMs) }

// length is how many events the item's text had after the run.
func (r record) length() int { return r.FromEvent + r.Events }

func seconds(milliseconds float64) float64 { return milliseconds / 1000 }
