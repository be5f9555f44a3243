package faker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// ListedHost is one backend server in the platform's host list.
type ListedHost struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

// HostList is a fake of the platform's host list. A list that was set becomes visible
// after a lag.
type HostList struct {
	mu      sync.Mutex
	visible []ListedHost
	pending []pendingList
}

type pendingList struct {
	hosts []ListedHost
	at    time.Time
}

// Set replaces the list; readers see it after lag.
func (l *HostList) Set(hosts []ListedHost, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingList{hosts: hosts, at: time.Now().Add(lag)})
}

func (l *HostList) get(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !time.Now().Before(l.pending[0].at) {
		l.visible, l.pending = l.pending[0].hosts, l.pending[1:]
	}
	_ = json.NewEncoder(w).Encode(struct {
		Hosts []ListedHost `json:"hosts"`
	}{l.visible})
}

func (l *HostList) put(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []ListedHost  `json:"hosts"`
		Lag   time.Duration `json:"lag"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(body.Hosts, body.Lag)
}
