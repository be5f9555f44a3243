package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/runner"
)

const adminTimeout = 2 * time.Second

// cmdDump is `cicadawood dump ADDRESS`.
var cmdDump = command{
	use:   "dump ADDRESS",
	short: "Print the whole state of the host whose admin address is ADDRESS, as JSON",
	args:  cobra.ExactArgs(1),
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		s, err := fetchState(ctx, args[0])
		if err != nil {
			return err
		}
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(s)
	},
}

func fetchState(ctx context.Context, address string) (runner.State, error) {
	var s runner.State
	resp, err := callAdmin(ctx, http.MethodGet, address, "/state")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("read state of %s: %w", address, err)
	}
	return s, nil
}

// callAdmin calls a host's admin interface; the caller closes the body.
func callAdmin(ctx context.Context, method, address, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, usageError(fmt.Errorf("address %s: %w", address, err))
	}
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call host: %w", err)
	}
	if resp.StatusCode >= 300 {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("call host %s: %s", address, resp.Status)
	}
	return resp, nil
}
