package commander_test

import (
	"bytes"
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/commander"
)

// fullDisk is a writer to a disk without free space.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errors.New("no space left on device") }

// Guards against a command that succeeds although its output was not written completely: a
// script that writes the output to a full disk would go on with a part of it.
var _ = Describe("Standard output", func() {
	It("that can't be written makes the command fail", func() {
		for _, args := range [][]string{{"version"}, {"key"}} {
			var stderr bytes.Buffer
			code := commander.Main(args, strings.NewReader("secret\n"), fullDisk{}, &stderr)
			Expect(code).To(Equal(commander.ExitFailed), args[0])
			Expect(stderr.String()).To(Equal("cicadawood: standard output: no space left on device\n"))
		}
	})
})
