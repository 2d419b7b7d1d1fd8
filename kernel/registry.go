package kernel

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
)

// Errors of Lookup.
var (
	// ErrNotRegistered means that no service is registered under the name.
	ErrNotRegistered = errors.New("service is not registered")
	// ErrNotRequired means that a module looked up a service that it does not
	// list in Requires. The lookup fails even if the service has been built, so
	// that its result does not depend on the build order.
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

// moduleRegistry is the Registry passed to one module. It finds only the
// services that the module requires.
type moduleRegistry struct {
	kernel *Kernel
	module Module
}

// Lookup implements Registry.
func (r moduleRegistry) Lookup(name string) (Service, error) {
	if !slices.Contains(r.module.Requires, name) {
		return nil, fmt.Errorf("module %q looks up service %q: %w", r.module.Name, name, ErrNotRequired)
	}
	return r.kernel.Lookup(name)
}
