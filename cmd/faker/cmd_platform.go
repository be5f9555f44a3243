package main

import (
	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/faker"
)

// platformCommand is `faker platform`.
func platformCommand() *cobra.Command {
	return &cobra.Command{Use: "platform ADDRESS", Args: cobra.ExactArgs(1), Short: "A fake Object API", RunE: func(c *cobra.Command, args []string) error {
		return serve(c.Context(), args[0], faker.NewPlatform().Handler())
	}}
}
