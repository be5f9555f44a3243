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
			return usageError(err)
		}
		name, err := c.Flags().GetString("level")
		if err != nil {
			return usageError(err)
		}
		level, err := zapcore.ParseLevel(name)
		if err != nil {
			return usageError(fmt.Errorf("--level: %w", err))
		}
		out, flush := logger.New(c.OutOrStdout(), level)
		defer flush()
		log := out.With(zap.String("host", settings.Name))
		signals := runner.Signals{Reload: watchSettings(ctx, args[0], log), DroppedLines: out.Dropped}
		if settings.Limits.GracePeriod == 0 {
			// With a grace period the platform kills the process when the period ends, so
			// a second stop signal must not abort the requests that are still running
			// after the first.
			signals.Abort = secondSignal()
		}
		return runner.RunWith(ctx, signals, settings, log)
	},
}

// secondSignal returns a channel that is closed at the second stop signal. The first one
// begins a graceful shutdown; the second one ends it.
func secondSignal() <-chan struct{} {
	second := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		<-signals
		close(second)
	}()
	return second
}
