package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// clockTicks is the number of clock ticks per second, the unit of processor time in
// /proc/PID/stat.
const clockTicks = 100

// Sample is the resource use of processes since their start, and their memory now.
type Sample struct {
	CPU      float64 // seconds, of all processes together
	Resident float64 // bytes, of all processes together
	Sent     float64 // control bytes sent between hosts
	Received float64 // control bytes received
	Reads    float64 // of the Object API
	Writes   float64 // of the Object API
}

// Sampler reads samples of hosts.
type Sampler struct {
	PIDs     []int    // process ids of the hosts
	Admins   []string // admin addresses, for control bytes
	Platform string   // address of the fake platform, for its calls
}

// Take reads one sample.
func (s Sampler) Take(ctx context.Context) (Sample, error) {
	var out Sample
	for _, p := range s.PIDs {
		cpu, resident, err := processUsage(p)
		if err != nil {
			return out, err
		}
		out.CPU += cpu
		out.Resident += resident
	}
	for _, a := range s.Admins {
		sent, received, err := controlBytes(ctx, a)
		if err != nil {
			return out, err
		}
		out.Sent += sent
		out.Received += received
	}
	if s.Platform == "" {
		return out, nil
	}
	var calls struct{ Reads, Writes float64 }
	if err := getJSON(ctx, "http://"+s.Platform+"/calls", &calls); err != nil {
		return out, err
	}
	out.Reads, out.Writes = calls.Reads, calls.Writes
	return out, nil
}

// processUsage returns a process's processor time in seconds and its resident memory in
// bytes.
func processUsage(pid int) (cpu, resident float64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("sample process: %w", err)
	}
	// The process name in parentheses may contain spaces; the fields after it do not.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return (user + system) / clockTicks, pages * float64(os.Getpagesize()), nil
}

// controlBytes reads a host's messenger counters.
func controlBytes(ctx context.Context, admin string) (sent, received float64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return 0, 0, fmt.Errorf("sample metrics: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, fmt.Errorf("sample metrics: %w", err)
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return 0, 0, fmt.Errorf("sample metrics: %w", err)
	}
	value := func(name string) float64 {
		var sum float64
		for _, m := range families[name].GetMetric() {
			sum += m.GetCounter().GetValue()
		}
		return sum
	}
	return value("cicadawood_messenger_sent_bytes_total"), value("cicadawood_messenger_received_bytes_total"), nil
}

func getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	return nil
}

// RateSince returns the use per second since an earlier sample, and the memory at the
// later one.
func (s Sample) RateSince(earlier Sample, took time.Duration) Sample {
	t := took.Seconds()
	return Sample{
		CPU: (s.CPU - earlier.CPU) / t, Resident: s.Resident,
		Sent: (s.Sent - earlier.Sent) / t, Received: (s.Received - earlier.Received) / t,
		Reads: (s.Reads - earlier.Reads) / t, Writes: (s.Writes - earlier.Writes) / t,
	}
}
