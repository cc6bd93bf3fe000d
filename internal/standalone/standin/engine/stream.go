package engine

import (
	"bufio"
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"

	protocol "github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
)

// Finish reasons of a stream.
const (
	reasonStop   = "stop"
	reasonLength = "length"
)

// outStream is one answer on its way out.
type outStream struct {
	id     string
	prompt string
	target int
	reason string

	truncateAt    int
	loseAdmission bool
	unversioned   bool

	mutex  sync.Mutex
	queue  []protocol.ChunkBody
	wake   chan struct{}
	ended  bool
	broken bool
	digest *xxhash.Digest
}

func newOutStream(body protocol.CompletionBody, target int, cut bool) *outStream {
	stream := &outStream{id: body.RequestID, prompt: body.Prompt, target: target, reason: reasonStop, wake: make(chan struct{}, 1), digest: xxhash.New()}
	if cut {
		stream.reason = reasonLength
	}
	stream.digest.WriteString(body.Resume)
	return stream
}

// add queues the tokens of one output of the model.
func (o *outStream) add(output enginemodel.Output) {
	event := protocol.ChunkBody{First: output.First, Count: output.Count, Version: output.Version}
	event.Text = enginemodel.Text(o.prompt, output.First, output.Count)
	o.digest.WriteString(event.Text)
	if o.unversioned {
		event.Version = 0
	}
	if output.Ended {
		event.FinishReason, event.Tokens, event.Digest = o.reason, output.First+output.Count, o.digest.Sum64()
	}
	o.push(event, output.Ended)
}

// move ends the stream with the place of its exported KV cache.
func (o *outStream) move(source, handle string) {
	o.push(protocol.ChunkBody{Moved: &protocol.MovedBody{Source: source, Handle: handle}}, true)
}

// abort ends the stream without its end.
func (o *outStream) abort() {
	o.mutex.Lock()
	o.broken = true
	o.mutex.Unlock()
	o.signal()
}

func (o *outStream) push(event protocol.ChunkBody, last bool) {
	o.mutex.Lock()
	o.queue = append(o.queue, event)
	o.ended = o.ended || last
	o.mutex.Unlock()
	o.signal()
}

func (o *outStream) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// write sends events until the end; false means that the reader is gone.
func (o *outStream) write(writer *bufio.Writer) bool {
	sent := 0
	for range o.wake {
		o.mutex.Lock()
		queue, ended, broken := o.queue, o.ended, o.broken
		o.queue = nil
		o.mutex.Unlock()
		for _, event := range queue {
			data, err := json.Marshal(event)
			if err != nil {
				return false
			}
			writer.WriteString("data: ")
			writer.Write(data)
			writer.WriteString("\n\n")
			sent += event.Count
			if o.truncateAt > 0 && sent >= o.truncateAt && !ended {
				writer.Flush()
				return false
			}
		}
		if writer.Flush() != nil {
			return false
		}
		if ended || broken {
			return true
		}
	}
	return true
}
