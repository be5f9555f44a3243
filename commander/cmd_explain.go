package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/explainer"
)

var errUnknownRequest = errors.New("no line of these logs names the request")

// cmdExplain is `cicadawood explain ID FILE...`.
var cmdExplain = command{
	use:   "explain ID FILE...",
	short: "Print the timeline of one request from the hosts' logs",
	args:  cobra.MinimumNArgs(2),
	run: func(_ context.Context, c *cobra.Command, args []string) error {
		var logs []explainer.Log
		for _, name := range args[1:] {
			l, err := readLog(name)
			if err != nil {
				return usageError(err)
			}
			logs = append(logs, l)
		}
		timeline := explainer.Explain(args[0], logs)
		if len(timeline.Lines) == 0 {
			return fmt.Errorf("%s: %w", args[0], errUnknownRequest)
		}
		_, err := io.WriteString(c.OutOrStdout(), timeline.String())
		return err
	},
}

func readLog(name string) (explainer.Log, error) {
	f, err := os.Open(name)
	if err != nil {
		return explainer.Log{}, fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	l, err := explainer.Read(f)
	if err != nil {
		return explainer.Log{}, fmt.Errorf("read log %s: %w", name, err)
	}
	return l, nil
}
