package runner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/messenger"
	"github.com/cicadawood/cicadawood/quarantiner"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
)

// Guards against a call that its caller sends again, through another host, before the crashes
// that it caused are counted.
var _ = Describe("The crash of a worker", func() {
	const call = quarantiner.Fingerprint(7)
	var (
		now      time.Time
		controls map[string]runner.Control
		queue    []func()
		sent     []messenger.Message
		lost     bool // messages are lost
	)
	BeforeEach(func() {
		now, controls, queue, sent, lost = time.Now(), map[string]runner.Control{}, nil, nil, false
		var records []registrar.Record
		for i := range 3 {
			name := fmt.Sprint("h", i)
			records = append(records, registrar.Record{Name: name, Control: name, Incarnation: 1})
			controls[name] = runner.NewControl(name, func(address string, m messenger.Message) {
				sent = append(sent, m)
				if !lost {
					queue = append(queue, func() { controls[address].Deliver(now, name, m) })
				}
			})
		}
		for _, k := range controls {
			k.StartQuarantine()
			k.SetRoster(now, registrar.NewRoster(records...))
		}
	})
	deliver := func() {
		for len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			next()
		}
	}
	// crashAt reports a crash at a host, and returns a channel that is closed when it is counted.
	crashAt := func(host, worker string) <-chan struct{} {
		sentAt := now.Add(time.Microsecond)
		now = now.Add(2 * time.Microsecond)
		return controls[host].Crash(now, worker, call, sentAt)
	}

	It("is counted by the host that counts for all before the call goes on", func() {
		waited := 0
		for i, host := range []string{"h0", "h1", "h2"} {
			counted := crashAt(host, fmt.Sprint("w-", i))
			if len(queue) > 0 {
				waited++
				Expect(counted).NotTo(BeClosed())
			}
			deliver()
			Expect(counted).To(BeClosed())
		}
		Expect(waited).To(Equal(2), "one host is the one that counts")
		for name, k := range controls {
			Expect(k.Quarantined(call)).To(BeTrue(), name)
		}
	})

	It("is confirmed after the quarantine that it leads to was sent to all hosts", func() {
		var reporters []string // the hosts that don't count for all
		for name, k := range controls {
			if k.Crash(now, "w", call+1, now); len(queue) > 0 {
				reporters = append(reporters, name)
			}
			deliver()
		}
		Expect(reporters).To(HaveLen(2))
		for i := range 3 {
			sent = nil
			crashAt(reporters[i%2], fmt.Sprint("w-", i))
			deliver()
		}
		kinds := []string{}
		for _, m := range sent {
			kinds = append(kinds, fmt.Sprintf("%T", m))
		}
		Expect(kinds).To(Equal([]string{
			"messenger.WorkerReport", "messenger.ReportsFlush", "messenger.Quarantine", "messenger.Quarantine", "messenger.ReportsFlushed",
		}))
	})

	It("is forgotten if its report is lost", func() {
		lost = true
		for _, host := range []string{"h0", "h1", "h2"} {
			crashAt(host, "w")
		}
		now = now.Add(time.Hour)
		for _, k := range controls {
			k.Tick(now)
			Expect(k.UnconfirmedCrashes()).To(BeZero())
		}
	})
})
