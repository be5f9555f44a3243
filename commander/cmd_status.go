package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/cicadawood/cicadawood/publisher"
	"github.com/cicadawood/cicadawood/registrar"
	"github.com/cicadawood/cicadawood/runner"
)

// maxConcurrentFetches bounds the hosts that status queries at the same time.
const maxConcurrentFetches = 32

// staleListAge is the age beyond which status notes that a host's list of workers is old:
// watches of the workers are answered every second.
const staleListAge = 5 * time.Second

// cmdStatus is `cicadawood status`.
var cmdStatus = command{
	use:   "status [ADDRESS]",
	short: "Show every host: zone, generation in force, roles, ready or leaving",
	long: `Show every host: zone, generation in force, roles, ready or leaving.

The hosts come from the platform, or, with the admin address of one host, from
that host's roster: also while the platform is down.`,
	args: cobra.MaximumNArgs(1),
	run: func(ctx context.Context, c *cobra.Command, args []string) error {
		o := overview{Hosts: []hostStatus{}}
		records, err := o.readRecords(ctx, c, args)
		if err != nil {
			return err
		}
		o.Hosts = fetchAll(ctx, records)
		for i := range o.Hosts {
			o.Hosts[i].Notes = notes(o.Hosts[i], o.Head)
		}
		if asJSON, _ := c.Flags().GetBool("json"); asJSON {
			return json.NewEncoder(c.OutOrStdout()).Encode(o)
		}
		return o.print(c.OutOrStdout())
	},
}

// overview is the output of status.
type overview struct {
	Head  uint64       `json:"head"` // generation in the platform; 0 if it can't be read
	Hosts []hostStatus `json:"hosts"`
}

// hostStatus is one host in an overview.
type hostStatus struct {
	Name       string   `json:"name"`
	Zone       string   `json:"zone"`
	Reachable  bool     `json:"reachable"`
	Ready      bool     `json:"ready"`
	Leaving    bool     `json:"leaving"`
	Generation uint64   `json:"generation"`
	Inflight   int64    `json:"inflight"`
	Roles      []string `json:"roles"`
	Notes      []string `json:"notes"`

	configuration publisher.Status
	routing       *runner.RoutingState
	failure       error // why it is not reachable
}

// readRecords reads the head and the hosts' records: from the roster of the host in args,
// or from the platform if args is empty.
func (o *overview) readRecords(ctx context.Context, c *cobra.Command, args []string) ([]registrar.Record, error) {
	if len(args) == 1 {
		if head, err := readHead(ctx, c); err == nil {
			o.Head = head.Generation
		}
		s, err := fetchState(ctx, args[0])
		return s.Roster, err
	}
	store, clean, err := openStore(c)
	if err != nil {
		return nil, err
	}
	defer clean()
	head, err := publisher.Read(ctx, store)
	if err != nil {
		return nil, fmt.Errorf("%w; give a host's admin address to ask the hosts alone", err)
	}
	o.Head = head.Generation
	objects, _, err := store.List(ctx, registrar.Prefix)
	if err != nil {
		return nil, fmt.Errorf("read roster: %w", err)
	}
	var records []registrar.Record
	for _, b := range objects {
		var h registrar.Record
		if err := json.Unmarshal(b.Value, &h); err != nil {
			return nil, fmt.Errorf("read record %s: %w", b.Key, err)
		}
		records = append(records, h)
	}
	return records, nil
}

func fetchAll(ctx context.Context, records []registrar.Record) []hostStatus {
	hosts := make([]hostStatus, len(records))
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFetches)
	for i, r := range records {
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			hosts[i] = fetchHost(ctx, r)
		})
	}
	tasks.Wait()
	return hosts
}

// fetchHost returns the state that a host reports, or the error if it can't be reached.
func fetchHost(ctx context.Context, r registrar.Record) hostStatus {
	s, err := fetchState(ctx, r.Admin)
	if err != nil {
		return hostStatus{Name: r.Name, Zone: r.Zone, Leaving: r.Leaving, Roles: []string{}, failure: err}
	}
	return statusOf(s)
}

func statusOf(s runner.State) hostStatus {
	return hostStatus{
		Name: s.Name, Zone: s.Zone, Reachable: true, Ready: s.Ready, Leaving: s.Leaving,
		Generation: s.Configuration.Generation, Inflight: s.Inflight, Roles: s.Roles, configuration: s.Configuration,
		routing: s.Routing,
	}
}

// notes returns the conditions of a host that an operator should investigate.
func notes(h hostStatus, head uint64) []string {
	list := []string{}
	note := func(applies bool, format string, args ...any) {
		if applies {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	if !h.Reachable {
		return append(list, fmt.Sprintf("unreachable: %v", h.failure))
	}
	k := h.configuration
	note(h.Generation < max(head, k.Newer), "behind")
	note(head != 0 && h.Generation > head, "ahead of the platform")
	note(k.Reason != "", "refused generation %d: %s", k.Rejected, firstLine(k.Reason))
	note(!k.Platform, "platform can't be read")
	if b := h.routing; b != nil {
		note(b.ListAge < 0, "knows no workers")
		note(b.ListAge > staleListAge, "last heard of workers %s ago", b.ListAge.Round(time.Second))
		note(b.WatchesStore && !b.WatchesForAll, "watches the store by itself")
	}
	return list
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

func (o overview) print(out io.Writer) error {
	if o.Head == 0 {
		fmt.Fprintln(out, "head: none that can be read")
	} else {
		fmt.Fprintf(out, "head: generation %d\n", o.Head)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tGENERATION\tSTATE\tINFLIGHT\tROLES\tNOTES")
	for _, h := range o.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%s\t%s\n", h.Name, h.Zone, h.Generation, h.state(), h.Inflight, countRoles(h.Roles), strings.Join(h.Notes, "; "))
	}
	return w.Flush()
}

func (h hostStatus) state() string {
	switch {
	case h.Leaving:
		return "leaving"
	case h.Ready:
		return "ready"
	default:
		return "unready"
	}
}

// countRoles shortens a host's roles for the table: at the design size a host has dozens.
func countRoles(roles []string) string {
	counts := map[string]int{}
	for _, r := range roles {
		kind, _, _ := strings.Cut(r, ":")
		counts[kind]++
	}
	var out []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		if counts[kind] > 1 {
			kind = fmt.Sprintf("%s(%d)", kind, counts[kind])
		}
		out = append(out, kind)
	}
	return strings.Join(out, " ")
}
