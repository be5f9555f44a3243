package runner_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cicadawood/cicadawood/platform"
	"github.com/cicadawood/cicadawood/runner"
	"github.com/cicadawood/cicadawood/storer"
)

// Guards against a log that grows with each heartbeat of a worker whose entry can't be used.
var _ = Describe("An odd entry", func() {
	It("is logged with worker, version and reason, and counted, once until its reason changes", func() {
		core, lines := observer.New(zapcore.InfoLevel)
		registry := prometheus.NewRegistry()
		var odd runner.OddEntries
		odd.Register(registry)
		refuse := func(worker string, revision int, reason string) {
			odd.Refuse(zap.New(core), storer.Object{Key: platform.WorkersPrefix + worker, Version: storer.Version(revision)}, errors.New(reason))
		}
		for i := range 1000 {
			refuse("i-1", i+1, "no slots")
		}
		refuse("i-1", 1001, "no service")
		refuse("i-2", 1002, "no slots")
		Expect(lines.FilterMessage("worker's entry").Len()).To(Equal(3))
		Expect(lines.All()[0].ContextMap()).To(Equal(map[string]any{"worker": "i-1", "version": "0/1", "error": "no slots"}))
		odd.Use(storer.Object{Key: platform.WorkersPrefix + "i-1"})
		refuse("i-1", 1003, "no service")
		Expect(lines.Len()).To(Equal(4))
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		Expect(families).To(HaveLen(1))
		Expect(families[0].GetName()).To(Equal("cicadawood_worker_entries_refused_total"))
		Expect(families[0].GetMetric()[0].GetCounter().GetValue()).To(BeEquivalentTo(4))
	})
})
