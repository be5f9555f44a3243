package commander_test

import (
	"bytes"
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadawood/cicadawood/commander"
)

// fullDisk is a file on a disk without room.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errors.New("no space left on device") }

// An operator keeps what a command prints in a file, and the disk is full. The command
// ends as if all were well, and a script goes on with half a page.
var _ = Describe("Standard output", func() {
	It("that takes nothing makes the command fail", func() {
		for _, args := range [][]string{{"version"}, {"key"}} {
			var stderr bytes.Buffer
			code := commander.Main(args, strings.NewReader("secret\n"), fullDisk{}, &stderr)
			Expect(code).To(Equal(commander.ExitFailed), args[0])
			Expect(stderr.String()).To(Equal("cicadawood: standard output: no space left on device\n"))
		}
	})
})
