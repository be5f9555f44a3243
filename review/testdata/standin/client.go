package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// attempt is one attempt of a client, and what it got.
type attempt struct {
	id, host string
	sentAt   time.Time
	status   int
	header   http.Header
	body     int   // bytes
	events   []int // numbers of the events of a stream
	err      error // nil if the answer ended in order
	kept     bool  // it was sent on a connection that had brought a request before
	took     time.Duration
}

// clientHost is the host name of all routes, and apiKey a key of a tenant.
const (
	clientHost = "ficu95.example"
	apiKey     = "xd9dnn2ctnfzs989anu6"
)

var clients = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 400, IdleConnTimeout: 12 * time.Second}}

// pick returns a host that is in rotation.
func (w *fleet) pick() *host {
	var in []*host
	for _, h := range w.hosts {
		if h.inRotation() {
			in = append(in, h)
		}
	}
	if len(in) == 0 {
		in = w.hosts
	}
	return in[rand.IntN(len(in))]
}

// call makes an attempt, and reads its answer to the end.
func (w *fleet) call(h *host, method, path string, deadline time.Duration, body io.Reader, header map[string]string) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), host: h.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.kept = c.Reused }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = clientHost
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+apiKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	w.record.add("client sends %s %s %s to %s", a.id, method, path, h.name)
	resp, err := clients.Do(req)
	if err != nil {
		a.err = err
		w.answered(a)
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.err = a.readEvents(resp.Body)
	} else {
		n, err := io.Copy(io.Discard, resp.Body)
		a.body, a.err = int(n), err
	}
	w.answered(a)
	return a
}

// readEvents reads a stream to its end.
func (a *attempt) readEvents(r io.Reader) error {
	in := bufio.NewReader(r)
	for {
		line, err := in.ReadString('\n')
		var n int
		if _, scanErr := fmt.Sscanf(line, "id: %d", &n); scanErr == nil {
			a.events = append(a.events, n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (w *fleet) answered(a *attempt) {
	a.took = time.Since(a.sentAt)
	end := "in order"
	if a.err != nil {
		end = a.err.Error()
	}
	last := 0
	if len(a.events) > 0 {
		last = a.events[len(a.events)-1]
	}
	w.record.add("client got %s from %s: status %d, %d events up to %d, %d bytes of body, ended %s, seal %q", a.id, a.host, a.status, len(a.events), last, a.body, end, a.header.Get("Response-Seal"))
}

// every calls f at a rate until the time is over.
func every(rate float64, d time.Duration, f func()) {
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-t.C
		go f()
	}
}
