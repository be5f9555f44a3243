package placer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/placer"
)

// urgentFlood is a steady flood of chats, of which each ends two seconds after it was sent.
type urgentFlood struct {
	view *placer.View
	now  time.Time
	next uint64
	ends []urgentEnd
}

type urgentEnd struct {
	id uint64
	at time.Time
}

const urgentHold = 2 * time.Second

// place sends a request, and has its first event come at once.
func (c *urgentFlood) place(req placer.Request) *placer.Refusal {
	c.next++
	_, refusal := c.view.Place(c.now, c.next, req)
	return refusal
}

// chats sends chats at a rate per second for a time.
func (c *urgentFlood) chats(rate float64, length time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(gap) {
		for len(c.ends) > 0 && !c.ends[0].at.After(c.now) {
			c.view.Ended(c.now, c.ends[0].id, placer.Answered)
			c.ends = c.ends[1:]
		}
		if c.place(urgentChat) == nil {
			c.view.Begun(c.now.Add(20*time.Millisecond), c.next)
			c.ends = append(c.ends, urgentEnd{c.next, c.now.Add(urgentHold)})
		}
	}
}

var urgentChat = placer.Request{
	Service: "lm", Prompt: 300, Output: 400, Left: 15 * time.Second, FirstEventTimeout: 2 * time.Second, Target: 300 * time.Millisecond,
	Gap: 200 * time.Millisecond,
}

// promptOfTier returns a short prompt of a tier with an answer of so many tokens.
func promptOfTier(tier, output int) placer.Request {
	req := urgentChat
	req.Tier, req.Rank, req.Output, req.Target = tier, tier, output, 600*time.Millisecond
	return req
}

// Guards against refusing a short request for slots that more urgent ones want after its end.
var _ = DescribeTable("A flood of urgent streams", func(count, rank int) {
	const slots = 48
	c := &urgentFlood{view: placer.New("a"), now: start}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("e-%03d", i))
	}
	workers := engines(names...)
	for i := range workers {
		workers[i].Slots = slots
	}
	c.view.SetWorkers(c.now, workers)
	c.chats(1.2*float64(count*slots)/urgentHold.Seconds(), time.Second)
	c.place(promptOfTier(2, 100)) // so that tier 1 is not the least urgent
	short, long := promptOfTier(1, 8), promptOfTier(1, 800)
	short.Rank, long.Rank = short.Rank+rank, long.Rank+rank
	refusal := c.place(long)
	Expect(refusal).NotTo(BeNil())
	Expect(refusal.Reason).To(Equal("slots"))
	Expect(c.place(short)).To(BeNil())
	Expect(c.place(promptOfTier(2, 8))).NotTo(BeNil())
},
	Entry("lets in short requests, not long ones, at 7 engines", 7, 0),
	Entry("at 60", 60, 0),
	Entry("at 117", 117, 0),
	Entry("of organisations whose ranks cross those of the routes", 7, 3),
)
