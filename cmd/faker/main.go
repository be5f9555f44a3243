// Command faker runs the stand-ins for the systems around cicadawood as
// processes, and a load tool, for tests and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/driver"
	"github.com/cicadawood/cicadawood/faker"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cobra.Command{Use: "faker", Short: "Stand-ins for tests and the demo", SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), linkCommand(), trafficCommand(), pathCommand())
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

func platformCommand() *cobra.Command {
	return &cobra.Command{Use: "platform ADDRESS", Args: cobra.ExactArgs(1), Short: "A fake Object API", RunE: func(c *cobra.Command, args []string) error {
		return serve(c.Context(), args[0], faker.NewPlatform().Handler())
	}}
}

func engineCommand() *cobra.Command {
	m := faker.DefaultModel()
	c := &cobra.Command{Use: "engine NAME ADDRESS", Args: cobra.ExactArgs(2), Short: "A fake model engine", RunE: func(c *cobra.Command, args []string) error {
		return serve(c.Context(), args[1], faker.NewEngine(args[0], m, &faker.Counter{}).Handler())
	}}
	c.Flags().DurationVar(&m.Step, "step", m.Step, "one batch step")
	c.Flags().DurationVar(&m.Sequence, "sequence", m.Sequence, "added to a step by each sequence")
	c.Flags().DurationVar(&m.Prefill, "prefill", m.Prefill, "added to a step by each prompt token")
	c.Flags().IntVar(&m.Slots, "slots", m.Slots, "sequences in a batch")
	return c
}

func serviceCommand() *cobra.Command {
	var took time.Duration
	c := &cobra.Command{Use: "service NAME ADDRESS", Args: cobra.ExactArgs(2), Short: "A fake plain service", RunE: func(c *cobra.Command, args []string) error {
		return serve(c.Context(), args[1], faker.NewService(args[0], took, &faker.Counter{}).Handler())
	}}
	c.Flags().DurationVar(&took, "took", 15*time.Millisecond, "how long a call takes")
	return c
}

func linkCommand() *cobra.Command {
	return &cobra.Command{Use: "link ADDRESS TARGET CONTROL", Args: cobra.ExactArgs(3), Short: "A TCP link that can fail; PUT /MODE at CONTROL sets how", RunE: func(c *cobra.Command, args []string) error {
		k, clean, err := faker.NewLink(args[0], args[1])
		if err != nil {
			return err
		}
		defer clean()
		m := http.NewServeMux()
		m.HandleFunc("PUT /{mode}", func(_ http.ResponseWriter, r *http.Request) {
			delay, _ := time.ParseDuration(r.URL.Query().Get("delay"))
			k.Set(faker.Mode(r.PathValue("mode")), delay)
		})
		return serve(c.Context(), args[2], m)
	}}
}

func trafficCommand() *cobra.Command {
	var t driver.Traffic
	c := &cobra.Command{Use: "traffic", Args: cobra.NoArgs, Short: "Send mixed traffic and judge what came back", RunE: func(c *cobra.Command, _ []string) error {
		report, err := t.Run(c.Context())
		if err != nil {
			return err
		}
		report.Print(c.OutOrStdout())
		if !report.Good() {
			return fmt.Errorf("requests were lost or doubled")
		}
		return nil
	}}
	c.Flags().StringSliceVar(&t.Hosts, "host", nil, "address of a host; may be repeated")
	c.Flags().StringSliceVar(&t.Services, "service", nil, "address of a plain service whose counts are read; may be repeated")
	c.Flags().DurationVar(&t.Length, "length", 20*time.Second, "how long to send")
	c.Flags().Float64Var(&t.Rate, "rate", 40, "requests a second")
	c.Flags().Uint64Var(&t.Seed, "seed", 1, "seed of the arrivals")
	c.Flags().StringVar(&t.Key, "key", "", "API key")
	return c
}

func pathCommand() *cobra.Command {
	var p driver.Path
	c := &cobra.Command{Use: "path", Args: cobra.NoArgs, Short: "Measure what a host adds to a call", RunE: func(c *cobra.Command, _ []string) error {
		return p.Run(c.Context(), c.OutOrStdout())
	}}
	c.Flags().StringVar(&p.Host, "host", "", "address of the host")
	c.Flags().StringVar(&p.Engine, "engine", "", "address of the engine")
	c.Flags().StringVar(&p.Key, "key", "", "API key")
	c.Flags().IntVar(&p.Process, "process", 0, "process id of the host")
	c.Flags().IntVar(&p.Rounds, "rounds", 7, "rounds of each way")
	c.Flags().IntVar(&p.Calls, "calls", 300, "calls a round")
	c.Flags().IntVar(&p.Workers, "workers", 32, "calls at once when throughput is measured")
	c.Flags().IntVar(&p.Tokens, "tokens", 32, "tokens a call at most")
	c.Flags().IntVar(&p.Streams, "streams", 0, "streams to hold open when memory is measured")
	return c
}
