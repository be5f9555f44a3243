package commander

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cicadawood/cicadawood/loader"
	"github.com/cicadawood/cicadawood/logger"
	"github.com/cicadawood/cicadawood/runner"
)

// cmdServe is `cicadawood serve FILE`.
var cmdServe = command{
	use:   "serve FILE",
	short: "Run one host with the settings in FILE",
	args:  cobra.ExactArgs(1),
	flags: func(c *cobra.Command) { c.Flags().String("level", "info", "log level: debug, info, warn or error") },
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		settings, err := loader.ReadHost(args[0])
		if err != nil {
			return usage(err)
		}
		name, err := c.Flags().GetString("level")
		if err != nil {
			return usage(err)
		}
		level, err := zapcore.ParseLevel(name)
		if err != nil {
			return usage(fmt.Errorf("--level: %w", err))
		}
		out, flush := logger.New(c.OutOrStdout(), level)
		defer flush()
		log := out.With(zap.String("host", settings.Name))
		signals := runner.Signals{Reload: reloads(ctx, args[0], log), Dropped: out.Dropped}
		if settings.Limits.GracePeriod == 0 {
			// Where the platform kills after a grace anyway, a second signal to stop must
			// not cut what the first one left to end.
			signals.Hurry = again()
		}
		return runner.RunWith(ctx, signals, settings, log)
	},
}

// again is closed at the second signal to stop, which ends a graceful shutdown;
// the first one begins it.
func again() <-chan struct{} {
	hurry := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		<-signals
		close(hurry)
	}()
	return hurry
}
