package commander

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/loader"
)

var errNoKey = errors.New("no key on standard input")

// cmdKey is `cicadawood key`. It reads the key from standard input, so that the key
// appears neither in the shell's history nor in the list of processes.
var cmdKey = command{
	use:   "key",
	short: "Read an API key from standard input and print its hash for the settings",
	args:  cobra.NoArgs,
	run: func(_ context.Context, c *cobra.Command, _ []string) error {
		line, _ := bufio.NewReader(c.InOrStdin()).ReadString('\n')
		key := strings.TrimRight(line, "\r\n")
		if key == "" {
			return usageError(errNoKey)
		}
		fmt.Fprintln(c.OutOrStdout(), loader.HashKey(key))
		return nil
	},
}
