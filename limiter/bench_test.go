package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadawood/cicadawood/limiter"
)

func BenchmarkAdmit(b *testing.B) {
	limits := map[string]limiter.Rates{}
	names := make([]string, 940)
	for i := range names {
		names[i] = fmt.Sprint("org-", i)
		limits[names[i]] = limiter.Rates{Requests: 100, Tokens: 10000}
	}
	var g limiter.Gates
	g.Configure(limits)
	g.SetHosts(9)
	now := time.Unix(1000, 0)
	i := 0
	for b.Loop() {
		i++
		now = now.Add(time.Microsecond)
		g.Admit(now, names[i%len(names)], 1, 100)
	}
}

// BenchmarkAsks measures the search for due loan requests among 940 active
// organisations.
func BenchmarkAsks(b *testing.B) {
	var g limiter.Gates
	limits := map[string]limiter.Rates{}
	for i := range 940 {
		limits[fmt.Sprint("org-", i)] = limiter.Rates{Requests: 100}
	}
	g.Configure(limits)
	now := time.Unix(1000, 0)
	for name := range limits {
		g.Admit(now, name, 1, 0)
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		g.LoanRequests(now)
	}
}

func BenchmarkLend(b *testing.B) {
	var l limiter.Lender
	now := time.Unix(10000, 0)
	i := 0
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		l.Lend(now, time.Time{}, "org", fmt.Sprint("host-", i%9), 9, limiter.Rates{Requests: 100}, limiter.Rates{Requests: 20})
	}
}
