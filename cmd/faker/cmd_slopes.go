package main

import (
	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/driver"
)

// slopesCommand is `faker slopes`.
func slopesCommand() *cobra.Command {
	return &cobra.Command{Use: "slopes", Args: cobra.NoArgs, Short: "Fit lines through samples from standard input", RunE: func(c *cobra.Command, _ []string) error {
		return driver.FitSlopes(c.InOrStdin(), c.OutOrStdout())
	}}
}
