// Package kernel registers services by name and starts and stops them in
// dependency order, on top of fx.
package kernel

import "context"

// Service is a unit that the kernel starts and stops.
type Service interface {
	// Start returns when the service is ready or has failed.
	Start(ctx context.Context) error
	// Stop returns when the service has released its resources or has failed.
	Stop(ctx context.Context) error
}

// Module describes a service that the kernel can build.
type Module struct {
	// Name identifies the service. It is unique, dotted and lower case, such as
	// "gateway.http".
	Name string
	// Requires names the services that start before and stop after this one.
	Requires []string
	// New builds the service. It is called after all required services have
	// been built.
	New func(Registry) (Service, error)
}

// Registry looks up services that have been built.
type Registry interface {
	// Lookup returns the service registered under name, or an error that
	// contains the name.
	Lookup(name string) (Service, error)
}
