package loader

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Kinds of service.
const (
	KindEngine = "engine" // implements the OpenAI API
	KindPlain  = "plain"  // any HTTP service
)

// Class is one service class.
type Class struct {
	Tier            int      `json:"tier"`  // 0 is the most urgent
	FirstByteTarget Duration `json:"first"` // time to the first byte of the answer
	AnswerTarget    Duration `json:"whole"` // time to the end of the answer; also the default deadline
	Share           float64  `json:"share"` // guaranteed share of worker time while requests of the class wait, from 0 to under 1
}

// Organisation is one customer of the system.
type Organisation struct {
	Keys     []string `json:"keys,omitempty"`    // sha256:HEX of each API key
	Requests float64  `json:"requests"`          // per second over all hosts; 0 means no limit
	Tokens   float64  `json:"tokens"`            // per second over all hosts; 0 means no limit
	Classes  []string `json:"classes,omitempty"` // that its requests may use
	// Tier overrides the tier of host routes, unless it is nil.
	Tier *int `json:"tier,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	Region  string              `json:"region"`
	Clients Duration            `json:"clients"` // one-way latency to its clients
	Latency map[string]Duration `json:"latency"` // one-way latency to other zones, by name
}

// Route assigns a class to the requests that it matches. The first matching route of a
// service applies.
type Route struct {
	Model  string `json:"model"`  // engines: the model's name
	Method string `json:"method"` // plain services: "" matches any
	Path   string `json:"path"`   // plain services: a prefix
	Class  string `json:"class"`
	Once   bool   `json:"once"` // a request must not run more than once
}

// Worker is one backend server of a service.
type Worker struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"` // requests that it runs concurrently
}

// Service is one backend service.
type Service struct {
	Kind        string   `json:"kind"`
	Owner       string   `json:"owner"` // person or team responsible for it
	Models      []string `json:"models,omitempty"`
	Routes      []Route  `json:"routes,omitempty"`
	Workers     []Worker `json:"workers,omitempty"`
	UseHostList bool     `json:"hosts"` // also use workers from the platform's host list
	CellSize    int      `json:"cell"`  // max workers per dispatcher; 0 means all
	Fencing     bool     `json:"fencing"`
	Resumable   bool     `json:"resume"`           // engines: a stream that broke off can be resumed
	Health      string   `json:"health,omitempty"` // path of its health check; "" for none
	CacheTokens int      `json:"memory,omitempty"` // tokens that an engine caches in memory; 0 for a plain service
	EventTokens int      `json:"event,omitempty"`  // tokens per event of an engine's stream
	TokenBytes  int      `json:"token,omitempty"`  // bytes of a token in an engine's cache
	LinkMbps    float64  `json:"link,omitempty"`   // Mbit/s at which engines fetch cached tokens from each other; 0 if they can't
}

// Folder is the merged configuration. It is immutable once parsed.
type Folder struct {
	Zones         map[string]Zone         `json:"zones,omitempty"`
	Classes       map[string]Class        `json:"classes,omitempty"`
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Services      map[string]Service      `json:"services,omitempty"`
	Routes        map[string]HostRoute    `json:"routes,omitempty"`
	Callers       *Callers                `json:"callers,omitempty"`
}

// Files is the raw text of a folder's files by name, in the form that is pushed and pulled.
type Files map[string]string

// ErrEmpty means that a directory has no settings files. That is more likely a wrong path
// than the intention to remove all classes, organisations and services.
var ErrEmpty = errors.New("no .json or .jsonc files")

// ReadFiles reads the *.json and *.jsonc files of a directory.
func ReadFiles(dir string) (Files, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	files := Files{}
	for _, e := range entries {
		if e.IsDir() || !IsSettingsFile(e.Name()) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("read folder: %w", err)
		}
		files[e.Name()] = string(text)
	}
	return files, nil
}

// IsSettingsFile reports whether a file of this name belongs to a folder: *.json and *.jsonc,
// except hidden files and files in subdirectories.
func IsSettingsFile(name string) bool {
	ext := filepath.Ext(name)
	return filepath.Base(name) == name && !strings.HasPrefix(name, ".") && (ext == ".json" || ext == ".jsonc")
}

// HashKey returns an API key in its form in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// OrganisationsByKeyHash returns the names of the organisations by the hashes of their API
// keys.
func (f *Folder) OrganisationsByKeyHash() map[[sha256.Size]byte]string {
	byHash := map[[sha256.Size]byte]string{}
	for name, o := range f.Organisations {
		for _, k := range o.Keys {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(strings.TrimPrefix(k, "sha256:"))); err == nil && n == len(hash) {
				byHash[hash] = name
			}
		}
	}
	return byHash
}
