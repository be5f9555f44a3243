package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// drainPollInterval separates two requests for the state of a draining host.
const drainPollInterval = 200 * time.Millisecond

var errStillRunning = errors.New("the host is still running")

// cmdDrain is `cicadawood drain ADDRESS`.
var cmdDrain = command{
	use:   "drain ADDRESS",
	short: "Shut down gracefully the host whose admin address is ADDRESS",
	args:  cobra.ExactArgs(1),
	flags: func(c *cobra.Command) {
		c.Flags().Bool("wait", false, "wait until the host has left")
		c.Flags().Duration("timeout", 2*time.Minute, "how long to wait")
	},
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		wait, _ := c.Flags().GetBool("wait")
		timeout, err := c.Flags().GetDuration("timeout")
		if err != nil {
			return usageError(err)
		}
		resp, err := callAdmin(ctx, http.MethodPost, args[0], "/drain")
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		fmt.Fprintln(c.OutOrStdout(), "draining")
		if !wait {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if err := waitUntilLeft(ctx, args[0]); err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), "left")
		return nil
	},
}

// waitUntilLeft waits until nothing listens at a host's admin address, or until a new
// process, which is not leaving, answers there.
func waitUntilLeft(ctx context.Context, address string) error {
	for {
		s, err := fetchState(ctx, address)
		if ctx.Err() != nil {
			return fmt.Errorf("drain %s: %w: %d requests in flight", address, errStillRunning, s.Inflight)
		}
		// Only a refused connection shows that the host has left: a slow answer may come
		// from one that still has requests in flight.
		if errors.Is(err, syscall.ECONNREFUSED) || (err == nil && !s.Leaving) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
}
