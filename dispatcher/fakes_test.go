package dispatcher_test

import (
	"fmt"
	"time"

	"github.com/cicadawood/cicadawood/dispatcher"
	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/messenger"
)

var (
	epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ready      = epochStart.Add(time.Second) // the claim window is over
)

func classes() map[string]loader.Class {
	second := loader.Duration(time.Second)
	return map[string]loader.Class{
		"check":   {Tier: 0, FirstByteTarget: second, AnswerTarget: 2 * second, Share: 0.05},
		"summary": {Tier: 1, FirstByteTarget: 5 * second, AnswerTarget: 60 * second, Share: 0.1},
		"letter":  {Tier: 2, FirstByteTarget: 120 * second, AnswerTarget: 300 * second, Share: 0.1},
	}
}

func cellOf(workers, slots int) dispatcher.Cell {
	c := dispatcher.Cell{Name: "crew/0", Service: "crew"}
	for i := range workers {
		c.Workers = append(c.Workers, loader.Worker{Name: fmt.Sprintf("w%d", i), Slots: slots})
	}
	return c
}

// started returns a dispatcher whose claim window is over at ready.
func started(workers, slots int) *dispatcher.Dispatcher {
	d := dispatcher.New(cellOf(workers, slots), 1, classes(), dispatcher.Options{Seed: 7})
	d.Tick(epochStart)
	d.Tick(ready)
	return d
}

func ask(request, class string) messenger.Ask {
	deadline := classes()[class].AnswerTarget.Std()
	return messenger.Ask{Request: request, Cell: "crew/0", Class: class, Organisation: "o", Deadline: deadline, Attempt: 1}
}

// only returns the messages of one type among outputs.
func only[M messenger.Message](out []dispatcher.Output) []M {
	var found []M
	for _, o := range out {
		if m, ok := o.Message.(M); ok {
			found = append(found, m)
		}
	}
	return found
}

func done(g messenger.Grant) messenger.Done {
	return messenger.Done{Request: g.Request, Attempt: g.Attempt, Cell: g.Cell, Worker: g.Worker, Tokens: 20, First: 50 * time.Millisecond}
}
