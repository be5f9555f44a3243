package commander

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cicadawood/cicadawood/loader"
)

// settingsEvery is how often a host looks at its settings file: it may change
// without a signal.
const settingsEvery = 5 * time.Second

// catchHangups keeps SIGHUP from ending the process, from now to its end. Failure: a
// host is told to look at its settings while it drains, when nothing reads them any
// more; the signal's default would end it, and break off all that it has under way. In
// the first 4 ms of a process, before the runtime takes signals, nothing can help.
func catchHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// reloads is the settings of a file each time that they change, until ctx ends:
// at a SIGHUP, or found by a look now and then. A file that is bad, or half
// written, leaves the settings as they are.
func reloads(ctx context.Context, path string, log *zap.Logger) <-chan loader.Host {
	out := make(chan loader.Host)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	have, err := os.ReadFile(path)
	if err != nil {
		log.Warn("reload", zap.Error(err))
	}
	go func() {
		defer signal.Stop(hangups)
		ticker := time.NewTicker(settingsEvery)
		defer ticker.Stop()
		for {
			why := "looked"
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				why = "signal"
			case <-ticker.C:
			}
			text, err := os.ReadFile(path)
			if err == nil && bytes.Equal(text, have) {
				continue
			}
			have = text
			if !reload(ctx, path, text, err, out, log.With(zap.String("why", why))) {
				return
			}
		}
	}()
	return out
}

// reload hands on the settings in text; false where ctx ends first.
func reload(ctx context.Context, path string, text []byte, failed error, out chan<- loader.Host, log *zap.Logger) bool {
	var settings loader.Host
	err := failed
	if err == nil {
		settings, err = loader.ParseHost(path, text)
	}
	if err != nil {
		log.Warn("reload refused; keeping the settings", zap.Error(err))
		return true
	}
	log.Info("reload")
	select {
	case out <- settings:
		return true
	case <-ctx.Done():
		return false
	}
}
