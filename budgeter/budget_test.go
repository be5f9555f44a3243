package budgeter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cicadawood/cicadawood/budgeter"
	"github.com/cicadawood/cicadawood/faker"
)

var start = time.Unix(1000, 0)

// settled is the time after which a process that knows all hosts has its part of the slack.
const settled = 13 * time.Second

// drain takes repeats until none is left.
func drain(b *budgeter.Budget, now time.Time, c budgeter.Claim) int {
	n := 0
	for take(b, now, c) {
		n++
	}
	return n
}

// take takes a repeat that arrives at once.
func take(b *budgeter.Budget, now time.Time, c budgeter.Claim) bool {
	r, ok := b.Take(now, service, c)
	b.Arrived(now, r)
	return ok
}

// Guards against hosts that together repeat more than a failing service may get.
var _ = Describe("Budget", func() {
	It("keeps all hosts together within the policy, in any window", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p := budgeter.Policy{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 60).Draw(t, "slack")), Span: 10 * time.Second}
			hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
			budgets := make([]*budgeter.Budget, hosts)
			for i := range budgets {
				budgets[i] = budgeter.New(start, p)
				budgets[i].SetPeers(start, nil, hosts)
			}
			now := start.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second)
			var seen faker.Repeats
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
				if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
					b.RecordRequest(now, service)
					seen.Requested(now)
				} else if take(b, now, budgeter.Claim{}) {
					seen.Repeated(now)
				}
			}
			worst := seen.Worst(faker.RepeatLimit{Ratio: p.Ratio, Slack: p.Slack, Window: p.Span})
			if worst.Excess() > 0 {
				t.Fatalf("%+v", worst)
			}
		})
	})

	It("allows its share again when the window has passed", func() {
		b := budgeter.New(start, budgeter.Policy{Slack: 20, Span: 10 * time.Second})
		b.SetPeers(start, nil, 2)
		now := start.Add(settled)
		Expect(drain(b, now, budgeter.Claim{Begun: true})).To(Equal(9)) // 0.99 of half of 20
		Expect(take(b, now.Add(9*time.Second), budgeter.Claim{Begun: true})).To(BeFalse())
		Expect(take(b, now.Add(11*time.Second), budgeter.Claim{Begun: true})).To(BeTrue())
	})

	It("gives a new process nothing of the slack for a window, and of its requests what they allow", func() {
		b := budgeter.New(start, budgeter.Policy{Ratio: 0.2, Slack: 20, Span: 10 * time.Second})
		b.SetPeers(start, nil, 2)
		Expect(drain(b, start, budgeter.Claim{Begun: true})).To(Equal(0))
		for range 100 {
			b.RecordRequest(start, service)
		}
		now := start.Add(time.Second)
		Expect(drain(b, now, budgeter.Claim{Begun: true})).To(BeNumerically("<=", 20))
		Expect(drain(b, start.Add(9*time.Second), budgeter.Claim{Begun: true})).To(Equal(0), "no slack yet")
	})

	It("waits anew for its part of the slack if there are more hosts than it knew", func() {
		b := budgeter.New(start, budgeter.Policy{Slack: 20, Span: 10 * time.Second})
		b.SetPeers(start, nil, 2)
		b.SetPeers(start.Add(8*time.Second), nil, 9)
		Expect(drain(b, start.Add(settled), budgeter.Claim{Begun: true})).To(Equal(0))
		Expect(drain(b, start.Add(8*time.Second+settled), budgeter.Claim{Begun: true})).To(Equal(2)) // 0.99 of 20 / 9
	})

	It("divides by the hosts of before while some seem to be gone", func() {
		b := budgeter.New(start, budgeter.Policy{Slack: 20, Span: 10 * time.Second})
		b.SetPeers(start, nil, 5)
		b.SetPeers(start.Add(20*time.Second), nil, 1)
		Expect(drain(b, start.Add(10*time.Minute), budgeter.Claim{Begun: true})).To(Equal(3)) // 0.99 of 20 / 5
	})

	It("leaves something to other kinds of repeats in a flood of one kind", func() {
		b := budgeter.New(start, budgeter.Policy{Slack: 100, Span: 10 * time.Second})
		b.SetPeers(start, nil, 2)
		now := start.Add(settled)
		drain(b, now, budgeter.Claim{Tier: 2})
		Expect(take(b, now, budgeter.Claim{Tier: 1})).To(BeTrue())
		Expect(take(b, now, budgeter.Claim{Tier: 1, Begun: true})).To(BeTrue())
	})

	It("charges a loan to its lender until it is returned", func() {
		p := budgeter.Policy{Slack: 20, Span: 10 * time.Second}
		lender, borrower := budgeter.New(start, p), budgeter.New(start, p)
		lender.SetPeers(start, []string{"borrower"}, 2)
		borrower.SetPeers(start, []string{"lender"}, 2)
		now := start.Add(settled)
		Expect(drain(borrower, now, budgeter.Claim{Begun: true})).To(Equal(9))
		asked, _, possible := borrower.Borrow(now, service, 1)
		Expect(possible).To(BeTrue())
		Expect(asked).To(HaveLen(1))
		loan := asked[0]
		loan.Peer = "borrower"
		reply := lender.Lend(now, loan)
		reply.Peer = "lender"
		before := lender.State(now, service).Available
		Expect(borrower.Receive(now, reply)).To(BeNumerically(">=", 0.2))
		borrower.Receive(now, reply)
		Expect(borrower.State(now, service).Borrowed).To(Equal(reply.Amount), "a reply counts once")

		late := now.Add(time.Second)
		back := borrower.Returns(late)
		Expect(borrower.State(late, service).Borrowed).To(BeZero())
		Expect(back).To(HaveLen(1))
		x := back[0]
		x.Peer = "borrower"
		Expect(lender.Return(late, x)).To(Equal(reply.Amount))
		Expect(lender.Return(late, x)).To(BeZero(), "a part comes back once")
		Expect(lender.State(late, service).Available).To(BeNumerically("~", before+reply.Amount, 1e-9))
	})

	It("counts a repeat in each window until its workers have answered something, for a span at most", func() {
		b := budgeter.New(start, budgeter.Policy{Slack: 20, Span: 10 * time.Second})
		b.SetPeers(start, nil, 2)
		now := start.Add(settled)
		claim := budgeter.Claim{Begun: true}
		var open []budgeter.Repeat
		for r, ok := b.Take(now, service, claim); ok; r, ok = b.Take(now, service, claim) {
			open = append(open, r)
		}
		Expect(open).To(HaveLen(9))
		for i, r := range open {
			Expect(b.Unanswered(now, r, []string{"w", fmt.Sprint("w", i%2)})).To(BeTrue())
		}
		answeredAt := now.Add(9 * time.Second)
		Expect(b.WorkerAnswered(answeredAt, "w")).To(BeEmpty(), "another worker is silent")
		Expect(b.WorkerAnswered(answeredAt, "w0")).To(HaveLen(5))
		b.Returns(now.Add(11 * time.Second)) // the others are settled
		Expect(drain(b, now.Add(18*time.Second), claim)).To(Equal(0))
		Expect(drain(b, now.Add(20*time.Second), claim)).To(Equal(5))
		Expect(drain(b, now.Add(22*time.Second), claim)).To(Equal(4))
	})

	It("gives back the budget of a repeat that was not sent", func() {
		b := budgeter.New(start, budgeter.Policy{Slack: 20, Span: 10 * time.Second})
		b.SetPeers(start, nil, 2)
		now := start.Add(settled)
		r, _ := b.Take(now, service, budgeter.Claim{Begun: true})
		before := b.State(now, service).Available
		b.NotSent(r)
		b.NotSent(r)
		Expect(b.State(now, service).Available).To(BeNumerically("~", before+1, 1e-9))
	})

	It("has a loan count at its lender until the borrower reports what became of it, for a span at most", func() {
		p := budgeter.Policy{Slack: 20, Span: 10 * time.Second}
		lender, borrower := budgeter.New(start, p), budgeter.New(start, p)
		lender.SetPeers(start, []string{"borrower"}, 2)
		borrower.SetPeers(start, []string{"lender"}, 2)
		now := start.Add(settled)
		drain(borrower, now, budgeter.Claim{Begun: true})
		asked, _, _ := borrower.Borrow(now, service, 1)
		loan := asked[0]
		loan.Peer = "borrower"
		reply := lender.Lend(now, loan)
		reply.Peer = "lender"
		borrower.Receive(now, reply)
		r, ok := borrower.Take(now, service, budgeter.Claim{Begun: true})
		Expect(ok).To(BeTrue())
		borrower.Unanswered(now, r, []string{"w"})
		later := now.Add(8 * time.Second)
		lender.Returns(later)
		Expect(lender.State(later, service).Open).To(Equal(reply.Amount))
		borrower.WorkerAnswered(later, "w")
		used, unused := 0.0, 0.0
		for _, x := range borrower.Returns(later) {
			used, unused = used+x.Arrived, unused+x.Amount
			x.Peer = "borrower"
			lender.Return(later, x)
		}
		Expect(used + unused).To(BeNumerically("~", reply.Amount, 1e-9))
		Expect(lender.State(later, service).Open).To(BeNumerically("~", 0, 1e-9))
		Expect(lender.State(later, service).Charged).To(BeNumerically("~", used, 1e-9))
	})

	It("gives back a loan that comes too late to be used", func() {
		b := budgeter.New(start, budgeter.Policy{Slack: 20, Span: 10 * time.Second})
		b.SetPeers(start, []string{"late"}, 2)
		b.Want(start, service)
		asked, end, _ := b.Borrow(start, service, 1)
		b.Borrow(end, service, 1)
		reply := asked[0]
		reply.Amount = 0.5
		Expect(b.Receive(end, reply)).To(BeZero())
		Expect(b.Receive(end, reply)).To(BeZero())
		back := b.Returns(end)
		Expect(back).To(HaveLen(1), "once")
		Expect(back[0].Amount).To(Equal(0.5))
	})

	It("forgets services that are no longer used, and hosts that are gone", func() {
		b := budgeter.New(start, budgeter.Policy{Slack: 20, Span: 10 * time.Second})
		now := start
		for n := range 100 {
			now = now.Add(time.Second)
			b.SetPeers(now, []string{fmt.Sprint("peer", n)}, 2)
			b.RecordRequest(now, fmt.Sprint("service", n))
			b.Borrow(now, fmt.Sprint("service", n), 1)
			b.Returns(now)
			Expect(len(b.States(now))).To(BeNumerically("<=", 41))
		}
		b.Returns(now.Add(time.Minute))
		Expect(b.States(now)).To(BeEmpty())
	})

	It("asks hosts that do not reply, or have nothing, less often", func() {
		b := budgeter.New(start, budgeter.Policy{Slack: 20, Span: 10 * time.Second})
		b.SetPeers(start, []string{"silent", "empty"}, 3)
		now, asked := start, map[string]int{}
		for range 400 { // 4 s
			loans, _, _ := b.Borrow(now, service, 3)
			for _, l := range loans {
				asked[l.Peer]++
				if l.Peer == "empty" {
					b.Receive(now, l)
				}
			}
			now = now.Add(10 * time.Millisecond)
		}
		Expect(asked["silent"]).To(Equal(1))
		Expect(asked["empty"]).To(BeNumerically("<=", 6), fmt.Sprint(asked))
	})
})
