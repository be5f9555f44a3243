package loader

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// methods are the HTTP methods that a route may match.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (m *merger) checkZone(name string, z Zone) {
	if z.Clients < 0 {
		m.report("must not be negative", sectionZones, name, "clients")
	}
	forEach(z.Latency, func(other string, d Duration) {
		if _, ok := m.folder.Zones[other]; !ok {
			m.report(fmt.Sprintf("no zone %q%s", other, suggest(other, m.folder.Zones)), sectionZones, name, "latency", other)
		}
		if d < 0 {
			m.report("must not be negative", sectionZones, name, "latency", other)
		}
	})
}

func (m *merger) checkClass(name string, c Class) {
	if c.Tier < 0 {
		m.report("must not be negative", sectionClasses, name, "tier")
	}
	if c.FirstByteTarget < 0 {
		m.report("must not be negative", sectionClasses, name, "first")
	}
	if c.AnswerTarget <= 0 {
		m.report("must be a positive duration", sectionClasses, name, "whole")
	} else if c.FirstByteTarget > c.AnswerTarget {
		m.report("is longer than the whole answer may take", sectionClasses, name, "first")
	}
	if c.Share < 0 || c.Share >= 1 {
		m.report("must be at least 0 and under 1", sectionClasses, name, "share")
	}
}

// checkShares reports guaranteed shares that sum to 1 or more, which leaves no capacity to
// assign by urgency. The sum is rounded, as ten shares of 0.1 would otherwise sum to slightly
// less than 1.
func (m *merger) checkShares() {
	sum, last := 0.0, ""
	forEach(m.folder.Classes, func(name string, c Class) {
		if c.Share > 0 {
			sum, last = sum+c.Share, name
		}
	})
	if sum = math.Round(sum*1e9) / 1e9; sum >= 1 {
		m.report(fmt.Sprintf("the shares of all classes sum to %v, not under 1", sum), sectionClasses, last, "share")
	}
}

func (m *merger) checkOrganisation(name string, o Organisation) {
	for i, k := range o.Keys {
		at := []string{sectionOrganisations, name, "keys", strconv.Itoa(i)}
		hash, ok := strings.CutPrefix(k, "sha256:")
		if raw, err := hex.DecodeString(hash); !ok || err != nil || len(raw) != sha256.Size || hash != strings.ToLower(hash) {
			m.report("is not sha256: and 64 lower-case hex digits (see cicadawood key)", at...)
			continue
		}
		if other, exists := m.orgByKey[k]; exists {
			m.report("is a key of organisation "+other+" already", at...)
		}
		m.orgByKey[k] = name
	}
	if o.Requests < 0 {
		m.report("must not be negative", sectionOrganisations, name, "requests")
	}
	if o.Tokens < 0 {
		m.report("must not be negative", sectionOrganisations, name, "tokens")
	}
	for i, c := range o.Classes {
		m.checkClassExists(c, sectionOrganisations, name, "classes", strconv.Itoa(i))
		if slices.Index(o.Classes, c) < i {
			m.report(fmt.Sprintf("class %q is given twice", c), sectionOrganisations, name, "classes", strconv.Itoa(i))
		}
	}
}

// checkClassExists reports a reference to an undefined class.
func (m *merger) checkClassExists(class string, at ...string) {
	if _, ok := m.folder.Classes[class]; !ok {
		m.report(fmt.Sprintf("no class %q%s", class, suggest(class, m.folder.Classes)), at...)
	}
}

func (m *merger) checkService(name string, s Service) {
	if s.Kind != KindEngine && s.Kind != KindPlain {
		m.report(fmt.Sprintf("is %q, not engine or plain", s.Kind), sectionServices, name, "kind")
	}
	if strings.TrimSpace(s.Owner) == "" {
		m.report("missing: every service has a named owner", sectionServices, name, "owner")
	}
	if len(s.Workers) == 0 && !s.UseHostList {
		m.report("none given, and hosts is not set", sectionServices, name, "workers")
	}
	if s.CellSize < 0 {
		m.report("must not be negative", sectionServices, name, "cell")
	}
	m.checkModels(name, s)
	for i, r := range s.Routes {
		m.checkRoute(name, s, i, r)
	}
	m.checkWorkers(name, s.Workers)
}

func (m *merger) checkModels(name string, s Service) {
	if s.Kind == KindPlain && len(s.Models) > 0 {
		m.report("a plain service has no models", sectionServices, name, "models")
	}
	if s.Kind == KindEngine && len(s.Models) == 0 {
		m.report("missing: an engine serves at least one model", sectionServices, name, "models")
	}
	for i, model := range s.Models {
		if other, exists := m.serviceByModel[model]; exists || model == "" {
			m.report(fmt.Sprintf("model %q is empty or given already by service %q", model, other), sectionServices, name, "models", strconv.Itoa(i))
		}
		m.serviceByModel[model] = name
	}
}

func (m *merger) checkRoute(name string, s Service, i int, r Route) {
	at := func(field ...string) []string {
		return append([]string{sectionServices, name, "routes", strconv.Itoa(i)}, field...)
	}
	m.checkClassExists(r.Class, at("class")...)
	if r.Model != "" && !slices.Contains(s.Models, r.Model) {
		m.report(fmt.Sprintf("no model %q in this service%s", r.Model, suggest(r.Model, setOf(s.Models))), at("model")...)
	}
	if s.Kind == KindEngine && (r.Method != "" || r.Path != "") {
		m.report("an engine's routes are by model, not by method or path", at()...)
	}
	if r.Method != "" && !slices.Contains(methods, r.Method) {
		m.report(fmt.Sprintf("%q is not one of %s", r.Method, strings.Join(methods, ", ")), at("method")...)
	}
	if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
		m.report("must start with /", at("path")...)
	}
	same := func(o Route) bool { return o.Model == r.Model && o.Method == r.Method && o.Path == r.Path }
	if first := slices.IndexFunc(s.Routes, same); first < i {
		m.report(fmt.Sprintf("matches the same requests as route %d, which takes precedence", first), at()...)
	}
}

func (m *merger) checkWorkers(service string, workers []Worker) {
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, w := range workers {
		at := func(field string) []string {
			return []string{sectionServices, service, "workers", strconv.Itoa(i), field}
		}
		if !validName(w.Name) || names[w.Name] {
			m.report(fmt.Sprintf("%q is not a name, or given twice", w.Name), at("name")...)
		}
		if _, err := netip.ParseAddrPort(w.Address); err != nil || addresses[w.Address] {
			m.report(fmt.Sprintf("%q is not IP:port, or given twice", w.Address), at("address")...)
		}
		if _, ok := m.folder.Zones[w.Zone]; !ok && len(m.folder.Zones) > 0 {
			m.report(fmt.Sprintf("no zone %q%s", w.Zone, suggest(w.Zone, m.folder.Zones)), at("zone")...)
		}
		if w.Slots <= 0 {
			m.report("must be positive", at("slots")...)
		}
		if w.Slots > maxSlots {
			m.report(fmt.Sprintf("must not be over %d", maxSlots), at("slots")...)
		}
		names[w.Name], addresses[w.Address] = true, true
	}
}

func setOf(names []string) map[string]bool {
	return maps.Collect(func(yield func(string, bool) bool) {
		for _, n := range names {
			if !yield(n, true) {
				return
			}
		}
	})
}
