package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/driver"
)

// trafficCommand is `faker traffic`.
func trafficCommand() *cobra.Command {
	var t driver.Traffic
	c := &cobra.Command{Use: "traffic", Args: cobra.NoArgs, Short: "Send mixed traffic and check the answers", RunE: func(c *cobra.Command, _ []string) error {
		report, err := t.Run(c.Context())
		if err != nil {
			return err
		}
		if err := report.Print(c.OutOrStdout()); err != nil {
			return err
		}
		if !report.Passed() {
			return fmt.Errorf("requests were lost, doubled or answered wrongly")
		}
		return nil
	}}
	c.Flags().StringSliceVar(&t.Hosts, "host", nil, "address of a host; may be repeated")
	c.Flags().StringSliceVar(&t.Services, "service", nil, "address of a plain service whose counts are read; may be repeated")
	c.Flags().DurationVar(&t.Length, "length", 20*time.Second, "how long to send")
	c.Flags().Float64Var(&t.Rate, "rate", 40, "requests per second")
	c.Flags().Uint64Var(&t.Seed, "seed", 1, "seed of the arrivals")
	c.Flags().StringVar(&t.Key, "key", "", "API key")
	return c
}
