package loader

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Sections of a folder.
const (
	sectionZones         = "zones"
	sectionClasses       = "classes"
	sectionOrganisations = "organisations"
	sectionServices      = "services"
	sectionRoutes        = "routes"
	sectionCallers       = "callers"
)

// Parse merges the files in name order and checks the whole. The error joins
// every Problem found; Problems lists them.
func (f Files) Parse() (*Folder, error) {
	m := merger{
		folder: &Folder{
			Zones: map[string]Zone{}, Classes: map[string]Class{},
			Organisations: map[string]Organisation{}, Services: map[string]Service{},
			Routes: map[string]HostRoute{},
		},
		home:   map[string]*document{},
		keys:   map[string]string{},
		models: map[string]string{},
	}
	for _, name := range slices.Sorted(maps.Keys(f)) {
		m.file(name, []byte(f[name]))
	}
	if !m.broken {
		m.check()
	}
	if len(m.problems) > 0 {
		return nil, errors.Join(m.problems...)
	}
	return m.folder, nil
}

// Problems is every Problem in an error of this package, in order.
func Problems(err error) []Problem {
	if p, ok := err.(Problem); ok { //nolint:errorlint // the join is walked here
		return []Problem{p}
	}
	var found []Problem
	switch e := err.(type) { //nolint:errorlint // the join is walked here
	case interface{ Unwrap() []error }:
		for _, inner := range e.Unwrap() {
			found = append(found, Problems(inner)...)
		}
	case interface{ Unwrap() error }:
		found = Problems(e.Unwrap())
	}
	return found
}

// merger collects files, and where each name was defined.
type merger struct {
	folder   *Folder
	home     map[string]*document // by section/name
	keys     map[string]string    // organisation by key
	models   map[string]string    // service by model
	problems []error
	// broken says that a file's content is missing: checks of the whole would
	// report names as dangling that only stand in that file.
	broken bool
}

func (m *merger) file(name string, text []byte) {
	d, err := newDocument(name, text)
	if err != nil {
		m.problems, m.broken = append(m.problems, err), true
		return
	}
	var part Folder
	if err := d.decode(&part); err != nil {
		m.problems, m.broken = append(m.problems, err), true
		return
	}
	merge(m, d, sectionZones, m.folder.Zones, part.Zones)
	merge(m, d, sectionClasses, m.folder.Classes, part.Classes)
	merge(m, d, sectionOrganisations, m.folder.Organisations, part.Organisations)
	merge(m, d, sectionServices, m.folder.Services, part.Services)
	merge(m, d, sectionRoutes, m.folder.Routes, part.Routes)
	m.callers(d, part.Callers)
}

func merge[T any](m *merger, d *document, section string, into, part map[string]T) {
	for _, name := range slices.Sorted(maps.Keys(part)) {
		key := section + "/" + name
		if other := m.home[key]; other != nil {
			reason := fmt.Sprintf("defined already at %s:%d", other.file, other.at(section, name))
			m.problems = append(m.problems, Problem{File: d.file, Line: d.at(section, name), Field: key, Reason: reason})
			continue
		}
		m.home[key] = d
		into[name] = part[name]
	}
}

// fault reports a problem at section/name/field...; a field that is not given
// is reported at the line of what should hold it.
func (m *merger) fault(reason string, path ...string) {
	d := m.home[path[0]+"/"+path[1]]
	line := 0
	for n := len(path); n > 1 && line == 0; n-- {
		line = d.at(path[:n]...)
	}
	m.problems = append(m.problems, Problem{File: d.file, Line: line, Field: strings.Join(path, "/"), Reason: reason})
}

// each calls do for every entry of a section, in name order.
func each[T any](section map[string]T, do func(string, T)) {
	for _, name := range slices.Sorted(maps.Keys(section)) {
		do(name, section[name])
	}
}

func (m *merger) check() {
	each(m.folder.Zones, m.zone)
	each(m.folder.Classes, m.class)
	m.shares()
	each(m.folder.Organisations, m.organisation)
	each(m.folder.Services, m.service)
	each(m.folder.Routes, m.hostRoute)
}
