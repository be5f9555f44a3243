package commander

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cicadawood/cicadawood/loader"
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
		log := newLogger(level).With(zap.String("host", settings.Name))
		return runner.RunUntil(ctx, again(), settings, log)
	},
}

// newLogger writes logfmt, a line an event, to standard error.
func newLogger(level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(os.Stderr), level))
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
