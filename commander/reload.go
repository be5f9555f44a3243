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

// settingsPollInterval is how often a host reads its settings file: the file may change
// without a signal.
const settingsPollInterval = 5 * time.Second

// catchHangups keeps SIGHUP from terminating the process until it exits. During the drain
// settings are no longer read; without a handler, a SIGHUP would then take its default
// action and abort all requests in flight. During the first 4 ms of a process, before the
// Go runtime handles signals, this can't be prevented.
func catchHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// ignoreBrokenPipes keeps a process from being terminated when nobody reads its log any more: the write
// fails instead.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// watchSettings sends the settings in a file each time they change, until ctx ends. It
// reads the file at each SIGHUP and every settingsPollInterval. A file that is invalid or
// only half written leaves the settings as they are.
func watchSettings(ctx context.Context, path string, log *zap.Logger) <-chan loader.Host {
	out := make(chan loader.Host)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	last, err := os.ReadFile(path)
	if err != nil {
		log.Warn("reload", zap.Error(err))
	}
	go func() {
		defer signal.Stop(hangups)
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			trigger := "looked"
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				trigger = "signal"
			case <-ticker.C:
			}
			text, err := os.ReadFile(path)
			if err == nil && bytes.Equal(text, last) {
				continue
			}
			last = text
			if !sendSettings(ctx, path, text, err, out, log.With(zap.String("why", trigger))) {
				return
			}
		}
	}()
	return out
}

// sendSettings parses text and sends the settings. It returns false if ctx ends first.
func sendSettings(ctx context.Context, path string, text []byte, readErr error, out chan<- loader.Host, log *zap.Logger) bool {
	var settings loader.Host
	err := readErr
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
