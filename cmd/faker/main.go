// Command faker runs the stand-ins for the systems around cicadawood as
// processes, and a load tool, for tests and the demo.
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
	root := &cobra.Command{Use: "faker", Short: "Stand-ins for tests and the demo", SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), linkCommand(), trafficCommand(), pathCommand(), sampleCommand(), slopesCommand(), awaitCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// serve answers on address until ctx ends.
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
