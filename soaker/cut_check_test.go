package soaker_test

import (
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a check that expects a cut host to serve callers while no host reaches the workers,
// and against one that misses a cut host which refuses them while another host does.
var _ = DescribeTable("The check of cut hosts counts the time in which another host reached the workers",
	func(otherSignals []syscall.Signal, signalledAt time.Duration, refusedFrom time.Duration, violations int) {
		const length = 6 * time.Second
		from := time.Now()
		cut, other := &host{name: "cut"}, &host{name: "other"}
		for _, h := range []*host{cut, other} {
			h.disturbances = []disturbance{{at: from.Add(-time.Minute)}}
		}
		for _, s := range otherSignals {
			other.disturbances = append(other.disturbances, disturbance{at: from.Add(signalledAt), down: endsService(s)})
		}
		c := &cluster{hosts: []*host{cut, other}}
		c.cuts = []hostCut{{hosts: map[*host]bool{cut: true}, from: from, to: from.Add(length)}}
		for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
			status := http.StatusOK
			if at >= refusedFrom {
				status = http.StatusServiceUnavailable
			}
			c.exchanges = append(c.exchanges, exchange{host: cut, sentAt: from.Add(at), status: status}, exchange{host: other, sentAt: from.Add(at), status: http.StatusOK})
		}
		Expect(c.badlyServedCuts()).To(HaveLen(violations))
	},
	Entry("to the end, if nothing disturbs it", nil, time.Duration(0), noticeTime, 1),
	Entry("none, if the cut host serves", nil, time.Duration(0), time.Hour, 0),
	Entry("until it is told to stop", []syscall.Signal{syscall.SIGTERM}, 5*time.Second, 5*time.Second, 0),
	Entry("until it is stopped, and refuses before", []syscall.Signal{syscall.SIGSTOP}, 5*time.Second, noticeTime, 1),
	Entry("none, if it was stopped before", []syscall.Signal{syscall.SIGSTOP}, -time.Second, noticeTime, 0),
	Entry("to the end, if it goes on before", []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT}, -time.Second, noticeTime, 1),
)
