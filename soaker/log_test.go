package soaker_test

import (
	"io"
	"net/http"
	"os"
	"os/exec"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a host that ends because nobody reads its log any more.
var _ = It("A host goes on when the reader of its log ends", func() {
	c := newCluster(*firstSeed)
	h := c.hosts[0]
	h.kill()
	process := exec.Command("../bin/cicadawood", "serve", h.settingsFile)
	process.Env = append(os.Environ(), "GOMAXPROCS=2")
	output, err := process.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	process.Stderr = process.Stdout
	Expect(process.Start()).To(Succeed())
	DeferCleanup(func() {
		Expect(process.Process.Kill()).To(Succeed(), "it runs")
		_ = process.Wait() // it was killed
	})
	_, err = io.ReadFull(output, make([]byte, 1))
	Expect(err).NotTo(HaveOccurred())
	Expect(output.Close()).To(Succeed())
	Eventually(h.pollReady, waitTimeout, "50ms").Should(BeTrue())
	Consistently(func() int { return send(h, "log", "quote", "key-0", "log", "").status }, "500ms", "20ms").Should(Equal(http.StatusOK))
})
