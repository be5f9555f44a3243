package main

import (
	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/driver"
)

// pathCommand is `faker path`.
func pathCommand() *cobra.Command {
	var p driver.PathBenchmark
	c := &cobra.Command{Use: "path", Args: cobra.NoArgs, Short: "Measure the overhead that a host adds to a call", RunE: func(c *cobra.Command, _ []string) error {
		return p.Run(c.Context(), c.OutOrStdout())
	}}
	c.Flags().StringVar(&p.Host, "host", "", "address of the host")
	c.Flags().StringVar(&p.Engine, "engine", "", "address of the engine")
	c.Flags().StringVar(&p.Key, "key", "", "API key")
	c.Flags().IntVar(&p.HostPID, "process", 0, "process id of the host")
	c.Flags().IntVar(&p.Rounds, "rounds", 7, "rounds through the host and rounds directly to the engine")
	c.Flags().IntVar(&p.CallsPerRound, "calls", 300, "calls per round")
	c.Flags().IntVar(&p.Concurrency, "workers", 32, "concurrent calls when throughput is measured")
	c.Flags().IntVar(&p.Tokens, "tokens", 32, "maximum tokens per call")
	c.Flags().IntVar(&p.Streams, "streams", 0, "streams open at the same time when memory is measured; 0 skips it")
	return c
}
