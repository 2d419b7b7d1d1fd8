package kernel

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
)

// Errors of Lookup.
var (
	// ErrNotRegistered means that no service of the name exists.
	ErrNotRegistered = errors.New("service is not registered")
	// ErrNotRequired means that a module looked up a service that it does not
	// list in Requires, so that the order of building would decide whether the
	// service is found.
	ErrNotRequired = errors.New("service is not listed as required")
)

// Get returns the service registered under name as a T.
func Get[T any](r Registry, name string) (T, error) {
	var none T
	s, err := r.Lookup(name)
	if err != nil {
		return none, err
	}
	t, ok := s.(T)
	if !ok {
		return none, fmt.Errorf("service %q is a %T, not a %s", name, s, reflect.TypeFor[T]())
	}
	return t, nil
}

// scope is the registry that one module sees: the services it requires.
type scope struct {
	kernel *Kernel
	module Module
}

func (s scope) Lookup(name string) (Service, error) {
	if !slices.Contains(s.module.Requires, name) {
		return nil, fmt.Errorf("%s looks up %q: %w", s.module.Name, name, ErrNotRequired)
	}
	return s.kernel.Lookup(name)
}
