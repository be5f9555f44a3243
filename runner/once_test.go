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

// keyedHold sends a hold with a key and returns the answer.
func keyedHold(h *runningHost, id string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.listen+"/services/app/holds", strings.NewReader(`{"seat":4}`))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against a call that runs twice because two hosts with different settings for the
// number of partitions put its key into different partitions, with a keeper each.
var _ = Describe("Keys at hosts with different settings", func() {
	It("fall into the same partitions", func() {
		t := &fixture{platform: faker.NewPlatform(), hosts: map[string]*runningHost{}}
		t.url = serve(t.platform.Handler())
		counter := &faker.Counter{}
		app := strings.TrimPrefix(serve(faker.NewService("app", time.Millisecond, counter).Handler()), "http://")
		t.push(fmt.Sprintf(`{
			"classes": {"hold": {"tier": 0, "whole": "10s"}},
			"organisations": {"dock": {"keys": [%q], "classes": ["hold"]}},
			"services": {"app": {"kind": "plain", "owner": "ops", "routes": [{"class": "hold", "once": true}],
				"workers": [{"name": "app", "address": %q, "zone": "a", "slots": 32}]}}}`, loader.HashKey(key), app))
		a := t.start("a", "z1", func(h *loader.Host) { h.Limits.Once.Partitions = 3 })
		b := t.start("b", "z2", func(h *loader.Host) { h.Limits.Once.Partitions = 16 })
		for i := range 12 {
			id := fmt.Sprintf("k%d", i)
			var first string
			Eventually(func() (int, error) {
				status, body, err := keyedHold(a, id)
				first = body
				return status, err
			}).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
			Eventually(func() (string, error) {
				_, body, err := keyedHold(b, id)
				return body, err
			}).WithTimeout(20 * time.Second).Should(Equal(first))
		}
		Expect(counter.Counts()).To(HaveLen(12))
		for id, n := range counter.Counts() {
			Expect(n).To(Equal(1), id)
		}
	})
})
