package main

import (
	"net/netip"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/cicadawood/cicadawood/faker"
)

// engineCommand is `faker engine`.
func engineCommand() *cobra.Command {
	m := faker.DefaultModel()
	count := 1
	c := &cobra.Command{Use: "engine NAME ADDRESS", Args: cobra.ExactArgs(2), Short: "A fake model engine", RunE: func(c *cobra.Command, args []string) error {
		first, err := netip.ParseAddrPort(args[1])
		if err != nil {
			return err
		}
		tasks, ctx := errgroup.WithContext(c.Context())
		for i := range count {
			address := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
			tasks.Go(func() error { return serve(ctx, address, faker.NewEngine(args[0], m, &faker.Counter{}).Handler()) })
		}
		return tasks.Wait()
	}}
	c.Flags().IntVar(&count, "count", count, "engines, on consecutive ports")
	c.Flags().DurationVar(&m.Step, "step", m.Step, "one batch step")
	c.Flags().DurationVar(&m.Sequence, "sequence", m.Sequence, "added to a step by each sequence")
	c.Flags().DurationVar(&m.Prefill, "prefill", m.Prefill, "added to a step by each prompt token")
	c.Flags().IntVar(&m.Slots, "slots", m.Slots, "sequences in a batch")
	return c
}
