package commander_test

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/cicadawood/cicadawood/commander"
	"github.com/cicadawood/cicadawood/faker"
)

// Guards against a host that loses its settings or stops following the file after an
// invalid one: the settings change while the host runs, and the file is only half written
// when SIGHUP arrives.
var _ = Describe("A host whose settings file changes", func() {
	It("applies a valid file and keeps its settings while the file is invalid", func() {
		platform := httptest.NewServer(faker.NewPlatform().Handler())
		DeferCleanup(platform.Close)
		DeferCleanup(platform.CloseClientConnections)
		var listen []string
		for i := range 3 {
			listen = append(listen, fmt.Sprintf("127.%d.%d.252:%d", 100+os.Getpid()/250%100, 1+os.Getpid()%250, 20001+i))
		}
		file := filepath.Join(GinkgoT().TempDir(), "host.jsonc")
		write := func(memory string) {
			text := fmt.Sprintf(`{"name": "h", "zone": "a", "listen": %q, "control": %q, "admin": %q, "platform": %q, "dialect": "platform",
				"limits": {"grace": "1s", "memory": %s}}`, listen[0], listen[1], listen[2], platform.URL, memory)
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		}
		sendHangup := func() { Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed()) }
		write("100")
		out := gbytes.NewBuffer()
		ended := make(chan int, 1)
		go func() { ended <- commander.Main([]string{"serve", file}, strings.NewReader(""), out, GinkgoWriter) }()
		Eventually(out, 5*time.Second).Should(gbytes.Say("msg=serving .*memory=100"))

		write(`"ha`)
		sendHangup()
		Eventually(out, 5*time.Second).Should(gbytes.Say(`level=warn msg="reload refused; keeping the settings".*host.jsonc`))
		write("200")
		sendHangup()
		Eventually(out, 5*time.Second).Should(gbytes.Say("msg=reload "))
		Eventually(out, 5*time.Second).Should(gbytes.Say(`msg="settings in force".*memory=200`))

		_, _, code := run("", "drain", listen[2])
		Expect(code).To(Equal(commander.ExitOK))
		Eventually(ended, 10*time.Second).Should(Receive(Equal(commander.ExitOK)))
		Expect(out).To(gbytes.Say("msg=left"))
	})
})
