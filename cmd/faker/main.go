// Command faker runs fakes of the systems around cicadawood as processes, for tests and
// the demo. It also generates load and runs benchmarks.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cobra.Command{Use: "faker", Short: "Fakes and load tools for tests and the demo", SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), linkCommand(), trafficCommand(), pathCommand(), sampleCommand(), slopesCommand(), awaitCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// serve serves HTTP on address until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
