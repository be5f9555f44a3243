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
	KindEngine = "engine" // speaks the OpenAI interface
	KindPlain  = "plain"  // any HTTP service
)

// Class is one service class.
type Class struct {
	Tier            int      `json:"tier"`  // 0 is the most urgent
	FirstByteTarget Duration `json:"first"` // target for the first byte of the answer
	AnswerTarget    Duration `json:"whole"` // target for the whole answer, and the default deadline
	Share           float64  `json:"share"` // guaranteed part of worker time while waiting, 0 to 1
}

// Organisation is one customer of the system.
type Organisation struct {
	Keys     []string `json:"keys,omitempty"`    // sha256:HEX of each API key
	Requests float64  `json:"requests"`          // a second, over all hosts; 0 is no limit
	Tokens   float64  `json:"tokens"`            // a second, over all hosts; 0 is no limit
	Classes  []string `json:"classes,omitempty"` // allowed
	// Tier goes before that of a host route; nil leaves the route's.
	Tier *int `json:"tier,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	Region  string              `json:"region"`
	Clients Duration            `json:"clients"` // latency, one way, to its clients
	Latency map[string]Duration `json:"latency"` // one way, to other zones
}

// Route gives the requests it matches a class. The first that matches counts.
type Route struct {
	Model  string `json:"model"`  // engines: the model's name
	Method string `json:"method"` // plain services: "" is any
	Path   string `json:"path"`   // plain services: a prefix
	Class  string `json:"class"`
	Once   bool   `json:"once"` // must not be repeated
}

// Worker is one backend server of a service.
type Worker struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"` // requests at once
}

// Service is one backend service.
type Service struct {
	Kind        string   `json:"kind"`
	Owner       string   `json:"owner"` // who answers for it: a person or a team
	Models      []string `json:"models,omitempty"`
	Routes      []Route  `json:"routes,omitempty"`
	Workers     []Worker `json:"workers,omitempty"`
	UseHostList bool     `json:"hosts"` // take workers from the platform's host list too
	CellSize    int      `json:"cell"`  // most workers under one dispatcher; 0 is all
	Fencing     bool     `json:"fencing"`
	Resumable   bool     `json:"resume"`           // engines: a stream that broke can be resumed
	CacheTokens int      `json:"memory,omitempty"` // tokens that an engine keeps in memory; 0 for a plain service
	EventTokens int      `json:"event,omitempty"`  // tokens that an event of an engine's stream holds
	TokenBytes  int      `json:"token,omitempty"`  // bytes that a token takes in an engine's memory
	LinkMbps    float64  `json:"link,omitempty"`   // megabits a second at which engines fetch memory from one another; 0 where they can't
}

// Folder is the merged configuration. A parsed Folder is never changed.
type Folder struct {
	Zones         map[string]Zone         `json:"zones,omitempty"`
	Classes       map[string]Class        `json:"classes,omitempty"`
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Services      map[string]Service      `json:"services,omitempty"`
	Routes        map[string]HostRoute    `json:"routes,omitempty"`
	Callers       *Callers                `json:"callers,omitempty"`
}

// Files is a folder's raw text by file name: what is pushed and pulled.
type Files map[string]string

// ErrEmpty says that a directory holds no settings at all: rather a wrong path
// than a wish to remove every class, organisation and service.
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

// IsSettingsFile says whether a file of this name belongs to a folder: *.json and
// *.jsonc, but no hidden ones and none of a directory below.
func IsSettingsFile(name string) bool {
	ext := filepath.Ext(name)
	return filepath.Base(name) == name && !strings.HasPrefix(name, ".") && (ext == ".json" || ext == ".jsonc")
}

// HashKey is the form in which an API key stands in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// OrganisationsByKeyHash is the organisations by the hash of each of their API keys.
func (f *Folder) OrganisationsByKeyHash() map[[sha256.Size]byte]string {
	holders := map[[sha256.Size]byte]string{}
	for name, o := range f.Organisations {
		for _, k := range o.Keys {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(strings.TrimPrefix(k, "sha256:"))); err == nil && n == len(hash) {
				holders[hash] = name
			}
		}
	}
	return holders
}
