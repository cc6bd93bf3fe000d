package sim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

const markLabel = "mark"

// Operator changes the configuration; each change carries a mark of its own.
type Operator struct {
	world  *World
	host   *Host
	writer *configwriter.Writer
	number int
}

func newOperator(world *World, name string) *Operator {
	operator := &Operator{world: world, host: NewHost(world.Scheduler, name, outside)}
	operator.host.start()
	world.Network.Add(operator.host)
	operator.writer = configwriter.New(configwriter.Config{
		Clock: operator.host, Random: rand.New(rand.NewPCG(world.Scheduler.Random.Uint64(), 2)), Objects: world.Platform.Client(operator.host),
	})
	return operator
}

// Change writes a configuration that differs by a mark, and by the edit if one
// is given.
func (o *Operator) Change(edit func(*v1.Set) *v1.Set) {
	o.number++
	mark := fmt.Sprintf("%s-%d", o.host.Name, o.number)
	o.writer.Write(func(current *v1.Set) (*v1.Set, error) {
		if edit != nil {
			current = edit(current)
		}
		limits := v1.All[*v1.Limit](current)
		marked := *limits[0]
		marked.Metadata.Labels = map[string]string{markLabel: mark}
		return current.Merge(v1.NewSet(&marked)), nil
	}, func(result configwriter.Result, err error) {
		var conflict *configwriter.ConflictError
		switch {
		case err == nil:
			o.world.History.wrote(mark, result.Generation)
		case errors.As(err, &conflict):
			o.world.History.conflicted(mark, len(conflict.Changes))
		}
	})
}

// start makes two operators change things at about the same time, again and
// again, until stop.
func (w *World) startRivals(period time.Duration) {
	first, second := newOperator(w, "operator-1"), newOperator(w, "operator-2")
	var round func()
	round = func() {
		if w.quiet {
			return
		}
		first.Change(nil)
		w.Scheduler.After(time.Duration(w.Scheduler.Random.Int64N(int64(20*time.Millisecond))), func() { second.Change(nil) })
		w.Scheduler.After(period/2+time.Duration(w.Scheduler.Random.Int64N(int64(period))), round)
	}
	w.Scheduler.After(period, round)
}
