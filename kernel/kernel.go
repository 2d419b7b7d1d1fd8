// Package kernel registers services by name and starts and stops them in
// dependency order, on top of fx.
package kernel

import "context"

// Service is a unit that the kernel starts and stops.
type Service interface {
	// Start returns when the service is ready or has failed.
	Start(ctx context.Context) error
	// Stop returns when the service has released what it holds.
	Stop(ctx context.Context) error
}

// Module describes a service before it exists.
type Module struct {
	// Name is unique, dotted and lower case, such as "gateway.http".
	Name string
	// Requires names the services that start before and stop after this one.
	Requires []string
	// New builds the service. All required services are built already.
	New func(Registry) (Service, error)
}

// Registry finds built services by name.
type Registry interface {
	// Lookup returns the service registered under name, or an error that names
	// it.
	Lookup(name string) (Service, error)
}
