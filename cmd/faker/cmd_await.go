package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

const awaitInterval = 50 * time.Millisecond

// awaitCommand is `faker await`.
func awaitCommand() *cobra.Command {
	var timeout time.Duration
	c := &cobra.Command{Use: "await URL", Args: cobra.ExactArgs(1), Short: "Wait until a URL answers with 200", RunE: func(c *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(c.Context(), timeout)
		defer cancel()
		for !respondsOK(ctx, args[0]) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s does not answer", args[0])
			case <-time.After(awaitInterval):
			}
		}
		return nil
	}}
	c.Flags().DurationVar(&timeout, "limit", 10*time.Second, "how long to wait")
	return c
}

func respondsOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
