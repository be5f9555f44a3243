package main

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/driver"
)

// sampleCommand is `faker sample`.
func sampleCommand() *cobra.Command {
	var s driver.Sampler
	var length time.Duration
	var series string
	var size float64
	c := &cobra.Command{Use: "sample", Args: cobra.NoArgs, Short: "Measure the resource use of hosts and print it as a JSON line", RunE: func(c *cobra.Command, _ []string) error {
		before, err := s.Take(c.Context())
		if err != nil {
			return err
		}
		started := time.Now()
		select {
		case <-c.Context().Done():
			return c.Context().Err()
		case <-time.After(length):
		}
		after, err := s.Take(c.Context())
		if err != nil {
			return err
		}
		rate := after.RateSince(before, time.Since(started))
		return json.NewEncoder(c.OutOrStdout()).Encode(driver.NewPoint(series, size, rate, len(s.PIDs)))
	}}
	c.Flags().IntSliceVar(&s.PIDs, "process", nil, "process id of a host; may be repeated")
	c.Flags().StringSliceVar(&s.Admins, "admin", nil, "admin address of a host; may be repeated")
	c.Flags().StringVar(&s.Platform, "platform", "", "address of the fake platform")
	c.Flags().DurationVar(&length, "length", 8*time.Second, "how long to measure")
	c.Flags().StringVar(&series, "series", "", "name of the quantity that varies between samples")
	c.Flags().Float64Var(&size, "size", 0, "value of that quantity in this sample")
	return c
}
