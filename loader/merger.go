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

// Parse merges the files in the order of their names and checks the result. The error
// joins all Problems found; Problems lists them.
func (f Files) Parse() (*Folder, error) {
	m := merger{
		folder: &Folder{
			Zones: map[string]Zone{}, Classes: map[string]Class{},
			Organisations: map[string]Organisation{}, Services: map[string]Service{},
			Routes: map[string]HostRoute{},
		},
		definedIn:      map[string]*document{},
		orgByKey:       map[string]string{},
		serviceByModel: map[string]string{},
	}
	for _, name := range slices.Sorted(maps.Keys(f)) {
		m.addFile(name, []byte(f[name]))
	}
	if !m.incomplete {
		m.check()
	}
	if len(m.problems) > 0 {
		return nil, errors.Join(m.problems...)
	}
	return m.folder, nil
}

// Problems returns all Problems in an error of this package, in order.
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

// merger merges files into one Folder and records where each name is defined.
type merger struct {
	folder         *Folder
	definedIn      map[string]*document // by "section/name"
	orgByKey       map[string]string    // name of the organisation by its API key's hash
	serviceByModel map[string]string    // name of the service by its model
	problems       []error
	// incomplete is set when a file could not be decoded: checks of the merged Folder would
	// report the names defined in that file as undefined.
	incomplete bool
}

func (m *merger) addFile(name string, text []byte) {
	d, err := newDocument(name, text)
	if err != nil {
		m.problems, m.incomplete = append(m.problems, err), true
		return
	}
	var part Folder
	if err := d.decode(&part); err != nil {
		m.problems, m.incomplete = append(m.problems, err), true
		return
	}
	merge(m, d, sectionZones, m.folder.Zones, part.Zones)
	merge(m, d, sectionClasses, m.folder.Classes, part.Classes)
	merge(m, d, sectionOrganisations, m.folder.Organisations, part.Organisations)
	merge(m, d, sectionServices, m.folder.Services, part.Services)
	merge(m, d, sectionRoutes, m.folder.Routes, part.Routes)
	m.addCallers(d, part.Callers)
}

func merge[T any](m *merger, d *document, section string, into, part map[string]T) {
	for _, name := range slices.Sorted(maps.Keys(part)) {
		key := section + "/" + name
		if other := m.definedIn[key]; other != nil {
			reason := fmt.Sprintf("defined already at %s:%d", other.file, other.lineOf(section, name))
			m.problems = append(m.problems, Problem{File: d.file, Line: d.lineOf(section, name), Field: key, Reason: reason})
			continue
		}
		m.definedIn[key] = d
		into[name] = part[name]
	}
}

// report adds a Problem at the path section, name, field and so on. If the field is absent,
// the line is that of the innermost parent that is present.
func (m *merger) report(reason string, path ...string) {
	d := m.definedIn[path[0]+"/"+path[1]]
	line := 0
	for n := len(path); n > 1 && line == 0; n-- {
		line = d.lineOf(path[:n]...)
	}
	m.problems = append(m.problems, Problem{File: d.file, Line: line, Field: strings.Join(path, "/"), Reason: reason})
}

// forEach calls do for every entry of a section, in name order.
func forEach[T any](section map[string]T, do func(string, T)) {
	for _, name := range slices.Sorted(maps.Keys(section)) {
		do(name, section[name])
	}
}

func (m *merger) check() {
	forEach(m.folder.Zones, m.checkZone)
	forEach(m.folder.Classes, m.checkClass)
	m.checkShares()
	forEach(m.folder.Organisations, m.checkOrganisation)
	forEach(m.folder.Services, m.checkService)
	forEach(m.folder.Routes, m.checkHostRoute)
}
