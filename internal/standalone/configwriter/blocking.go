package configwriter

import (
	"math/rand/v2"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/loop"
	"github.com/pathtally/pathtally/internal/standalone/objectapi"
)

// Blocking is a Writer over the wall clock and HTTP for commands, each call of
// which waits for its answer.
type Blocking struct {
	loop    *loop.Loop
	objects *objectapi.Client
	writer  *Writer
}

// NewBlocking connects to the platform at an address.
func NewBlocking(platform string) (*Blocking, error) {
	running := loop.New()
	objects, err := objectapi.NewClient(platform, running.Post)
	if err != nil {
		running.Close()
		return nil, err
	}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), rand.Uint64()))
	return &Blocking{loop: running, objects: objects, writer: New(Config{Clock: running, Random: random, Objects: objects})}, nil
}

// Close ends the connection.
func (b *Blocking) Close() {
	b.objects.Close()
	b.loop.Close()
}

// Read returns the configuration in force and its generation.
func (b *Blocking) Read() (*v1.Set, uint64, error) {
	type answer struct {
		set        *v1.Set
		generation uint64
		err        error
	}
	answers := make(chan answer, 1)
	b.loop.Post(func() {
		b.writer.Read(func(set *v1.Set, generation uint64, err error) { answers <- answer{set, generation, err} })
	})
	got := <-answers
	return got.set, got.generation, got.err
}

// Write is Writer.Write.
func (b *Blocking) Write(change Change) (Result, error) {
	return b.wait(func(done func(Result, error)) { b.writer.Write(change, done) })
}

// WriteRebased is Writer.WriteRebased.
func (b *Blocking) WriteRebased(change Change) (Result, error) {
	return b.wait(func(done func(Result, error)) { b.writer.WriteRebased(change, done) })
}

func (b *Blocking) wait(start func(func(Result, error))) (Result, error) {
	type answer struct {
		result Result
		err    error
	}
	answers := make(chan answer, 1)
	b.loop.Post(func() { start(func(result Result, err error) { answers <- answer{result, err} }) })
	got := <-answers
	return got.result, got.err
}
