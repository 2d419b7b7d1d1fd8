package kernel

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/jacinththread/jacinththread/finding"
)

var validName = regexp.MustCompile(`^[a-z][a-z0-9_-]*(\.[a-z][a-z0-9_-]*)*$`)

// order sorts the modules topologically: each one follows those it requires.
// Modules that do not depend on each other keep their order. It also returns
// all findings about names and requirements.
func order(modules []Module) ([]Module, finding.List) {
	s := sorter{byName: map[string]Module{}, state: map[string]visitState{}}
	s.checkNames(modules)
	s.checkRequirements(modules)
	for _, m := range modules {
		s.visit(m.Name)
	}
	return s.sorted, s.findings
}

type visitState uint8

const (
	unvisited visitState = iota
	onPath
	visited
)

// sorter sorts modules by a depth-first search over their requirements.
type sorter struct {
	byName   map[string]Module
	state    map[string]visitState
	path     []string // from the first module visited to the current one
	sorted   []Module
	findings finding.List
}

func (s *sorter) report(name, format string, args ...any) {
	f := finding.Finding{Field: name, Message: fmt.Sprintf(format, args...)}
	s.findings = append(s.findings, f)
}

func (s *sorter) checkNames(modules []Module) {
	for i, m := range modules {
		if !validName.MatchString(m.Name) {
			s.report(fmt.Sprintf("module %d", i), "name %q is not dotted and lower case", m.Name)
		}
		if m.New == nil {
			s.report(m.Name, "module has no constructor")
		}
		if _, duplicate := s.byName[m.Name]; duplicate {
			s.report(m.Name, "service is registered twice")
			continue
		}
		s.byName[m.Name] = m
	}
}

func (s *sorter) checkRequirements(modules []Module) {
	for _, m := range modules {
		for i, r := range m.Requires {
			if slices.Contains(m.Requires[:i], r) {
				s.report(m.Name, "service %q is required twice", r)
				continue
			}
			if _, ok := s.byName[r]; !ok {
				s.report(m.Name, "required service %q is not registered", r)
			}
		}
	}
}

// visit appends the modules that the named one requires, directly or not, and
// then the named one to the sorted modules. It reports a cycle as its path.
func (s *sorter) visit(name string) {
	m, ok := s.byName[name]
	if !ok || s.state[name] == visited {
		return
	}
	if s.state[name] == onPath {
		cycle := append(slices.Clone(s.path[slices.Index(s.path, name):]), name)
		s.report(name, "cyclic requirement: %s", strings.Join(cycle, " -> "))
		return
	}
	s.state[name] = onPath
	s.path = append(s.path, name)
	for _, r := range m.Requires {
		s.visit(r)
	}
	s.path = s.path[:len(s.path)-1]
	s.state[name] = visited
	s.sorted = append(s.sorted, m)
}
