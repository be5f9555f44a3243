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

const (
	urgentSlots = 48
	urgentHold  = 2 * time.Second
)

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
		c.chat()
	}
}

func (c *urgentFlood) chat() {
	if c.place(urgentChat) == nil {
		c.view.Begun(c.now.Add(20*time.Millisecond), c.next)
		c.ends = append(c.ends, urgentEnd{c.next, c.now.Add(urgentHold)})
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

// newUrgentFlood returns a flood that has not begun, at a number of engines.
func newUrgentFlood(count int) *urgentFlood {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("e-%03d", i))
	}
	workers := engines(names...)
	for i := range workers {
		workers[i].Slots = urgentSlots
	}
	c := &urgentFlood{view: placer.New("a"), now: start}
	c.view.SetWorkers(c.now, workers)
	return c
}

// Guards against refusing a short request for slots that more urgent ones want after its end.
var _ = Describe("A flood of urgent streams", func() {
	DescribeTable("lets in short requests, not long ones nor the least urgent", func(count, rank int) {
		c := newUrgentFlood(count)
		c.chats(1.2*float64(count*urgentSlots)/urgentHold.Seconds(), time.Second)
		c.place(promptOfTier(2, 100)) // so that tier 1 is not the least urgent
		short, long := promptOfTier(1, 8), promptOfTier(1, 800)
		short.Rank, long.Rank = short.Rank+rank, long.Rank+rank
		refusal := c.place(long)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal("slots"))
		Expect(c.place(short)).To(BeNil())
		Expect(c.place(promptOfTier(2, 8))).NotTo(BeNil())
	},
		Entry("at 7 engines", 7, 0),
		Entry("at 60", 60, 0),
		Entry("at 117", 117, 0),
		Entry("of organisations whose ranks cross those of the routes", 7, 3),
	)

	DescribeTable("lets in short requests after a jam was released at once", func(count int) {
		const jam = 1.3 // seconds
		c := newUrgentFlood(count)
		rate := 0.4 * float64(count*urgentSlots) / urgentHold.Seconds()
		c.chats(rate, 2*urgentHold)
		c.place(promptOfTier(2, 100))
		for range int(jam * rate) {
			c.chat()
		}
		Expect(c.place(promptOfTier(1, 8))).To(BeNil())
	}, Entry("at 7 engines", 7), Entry("at 60", 60), Entry("at 117", 117))

	It("alone refuses nobody while a slot is free", func() {
		const count = 7
		c := newUrgentFlood(count)
		for range count * urgentSlots {
			Expect(c.place(promptOfTier(1, 8))).To(BeNil())
		}
		Expect(c.place(promptOfTier(1, 8))).NotTo(BeNil())
	})
})
