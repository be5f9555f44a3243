package main

import (
	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/driver"
)

// pathCommand is `faker path`.
func pathCommand() *cobra.Command {
	var p driver.PathBenchmark
	c := &cobra.Command{Use: "path", Args: cobra.NoArgs, Short: "Measure what a host adds to a call", RunE: func(c *cobra.Command, _ []string) error {
		return p.Run(c.Context(), c.OutOrStdout())
	}}
	c.Flags().StringVar(&p.Host, "host", "", "address of the host")
	c.Flags().StringVar(&p.Engine, "engine", "", "address of the engine")
	c.Flags().StringVar(&p.Key, "key", "", "API key")
	c.Flags().IntVar(&p.HostPID, "process", 0, "process id of the host")
	c.Flags().IntVar(&p.Rounds, "rounds", 7, "rounds of each way")
	c.Flags().IntVar(&p.CallsPerRound, "calls", 300, "calls a round")
	c.Flags().IntVar(&p.Concurrency, "workers", 32, "calls at once when throughput is measured")
	c.Flags().IntVar(&p.Tokens, "tokens", 32, "tokens a call at most")
	c.Flags().IntVar(&p.Streams, "streams", 0, "streams to hold open when memory is measured")
	return c
}
