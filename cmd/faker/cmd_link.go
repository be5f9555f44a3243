package main

import (
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/faker"
)

// linkCommand is `faker link`.
func linkCommand() *cobra.Command {
	return &cobra.Command{Use: "link ADDRESS TARGET CONTROL", Args: cobra.ExactArgs(3), Short: "A TCP link that can fail; PUT /MODE at CONTROL sets its mode", RunE: func(c *cobra.Command, args []string) error {
		k, clean, err := faker.NewLink(args[0], args[1])
		if err != nil {
			return err
		}
		defer clean()
		m := http.NewServeMux()
		m.HandleFunc("PUT /{mode}", func(_ http.ResponseWriter, r *http.Request) {
			delay, _ := time.ParseDuration(r.URL.Query().Get("delay"))
			k.Set(faker.LinkMode(r.PathValue("mode")), delay)
		})
		return serve(c.Context(), args[2], m)
	}}
}
