package runner_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/faker"
	"github.com/cicadawood/cicadawood/loader"
)

// sendKeyed sends a completion with a key to a plain service and returns the status.
func sendKeyed(h *runningHost, id string) (int, error) {
	body := `{"model":"lm","max_tokens":2,"messages":[{"role":"user","content":"trip"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+h.listen+"/services/app/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Two hosts send keyed calls concurrently to an engine that refuses old fencing numbers,
// and the calls arrive in another order than that of their grants. Those refused did not
// run: they must get a new grant and complete, each run once.
var _ = Describe("Keyed calls at an engine that refuses old fencing numbers", func() {
	It("run once each, and complete", func() {
		t := &fixture{platform: faker.NewPlatform(), hosts: map[string]*runningHost{}}
		t.url = serve(t.platform.Handler())
		counter := &faker.Counter{}
		engine := faker.NewEngine("lm1", faker.Model{Step: time.Millisecond, Slots: 32}, counter)
		engine.SetFencing(true)
		app := strings.TrimPrefix(serve(engine.Handler()), "http://")
		t.push(fmt.Sprintf(`{
			"classes": {"hold": {"tier": 0, "whole": "10s"}},
			"organisations": {"dock": {"keys": [%q], "classes": ["hold"]}},
			"services": {"app": {"kind": "plain", "owner": "ops", "routes": [{"class": "hold", "once": true}],
				"workers": [{"name": "app", "address": %q, "zone": "a", "slots": 32}]}}}`, loader.HashKey(key), app))
		hosts := []*runningHost{t.start("a", "z1", nil), t.start("b", "z2", nil)}
		for i, h := range hosts {
			Eventually(func() (int, error) { return sendKeyed(h, fmt.Sprint("warm", i)) }).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
		}
		ended := make(chan string, 64)
		for i := range cap(ended) {
			go func() {
				status, err := sendKeyed(hosts[i%2], fmt.Sprint("k", i))
				ended <- fmt.Sprint(status, err)
			}()
		}
		for range cap(ended) {
			Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(Equal("200 <nil>")))
		}
		Expect(counter.Counts()).To(HaveLen(2 + cap(ended)))
		for id, n := range counter.Counts() {
			Expect(n).To(Equal(1), id)
		}
	})
})
