package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/faker"
)

// serviceCommand is `faker service`.
func serviceCommand() *cobra.Command {
	var duration time.Duration
	c := &cobra.Command{Use: "service NAME ADDRESS", Args: cobra.ExactArgs(2), Short: "A fake plain service", RunE: func(c *cobra.Command, args []string) error {
		return serve(c.Context(), args[1], faker.NewService(args[0], duration, &faker.Counter{}).Handler())
	}}
	c.Flags().DurationVar(&duration, "took", 15*time.Millisecond, "how long a call takes")
	return c
}
