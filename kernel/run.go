package kernel

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"go.uber.org/fx"
)

// rollbackTimeout limits how long each started service may take to stop after a
// failed start.
const rollbackTimeout = 10 * time.Second

// Kernel holds the services of one daemon.
type Kernel struct {
	log      *log.Logger
	app      *fx.App
	services map[string]Service
}

// New checks the modules and builds their services, each after those it
// requires. Invalid names, missing requirements and dependency cycles are
// returned together in one *finding.Error.
func New(logger *log.Logger, modules ...Module) (*Kernel, error) {
	sorted, findings := order(modules)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	k := &Kernel{log: logger, services: map[string]Service{}}
	options := []fx.Option{fx.NopLogger}
	for _, m := range sorted {
		options = append(options, fx.Invoke(func(lc fx.Lifecycle) error {
			return k.build(lc, m)
		}))
	}
	k.app = fx.New(options...)
	if err := k.app.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return k, nil
}

// build creates the service of a module and adds it to the fx lifecycle.
func (k *Kernel) build(lc fx.Lifecycle, m Module) error {
	s, err := m.New(moduleRegistry{kernel: k, module: m})
	if err != nil {
		return fmt.Errorf("building service %q: %w", m.Name, err)
	}
	if s == nil {
		return fmt.Errorf("building service %q: constructor returned no service", m.Name)
	}
	k.services[m.Name] = s
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error { return k.startService(ctx, m.Name, s) },
		OnStop:  func(ctx context.Context) error { return k.stopService(ctx, m.Name, s) },
	})
	return nil
}

// Lookup returns the service registered under name, or an error that wraps
// ErrNotRegistered.
func (k *Kernel) Lookup(name string) (Service, error) {
	s, ok := k.services[name]
	if !ok {
		return nil, fmt.Errorf("service %q: %w", name, ErrNotRegistered)
	}
	return s, nil
}

// Start starts the services in the order in which they were built. If one
// fails or ctx ends, the services already started are stopped in reverse order.
func (k *Kernel) Start(ctx context.Context) error {
	return trace.Wrap(k.app.Start(detach(ctx, startKey{})))
}

// Stop stops the started services in reverse order. It calls Stop of every
// service once, even if an earlier one fails or ctx ends. Services receive ctx
// and are expected to return when it ends.
func (k *Kernel) Stop(ctx context.Context) error {
	return trace.Wrap(k.app.Stop(detach(ctx, stopKey{})))
}

// Run starts the services, waits until ctx ends and stops them without a time
// limit. Callers that need a limit use Start and Stop.
func (k *Kernel) Run(ctx context.Context) error {
	if err := k.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return k.Stop(context.WithoutCancel(ctx))
}

// Context keys under which detach stores the context of Start and of Stop.
type (
	startKey struct{}
	stopKey  struct{}
)

// detach returns a context that does not end with ctx and holds ctx as a value
// under key, where the hooks find it. If fx saw ctx end, it would return while a
// hook still runs and skip the remaining hooks.
func detach(ctx context.Context, key any) context.Context {
	return context.WithValue(context.WithoutCancel(ctx), key, ctx)
}

func (k *Kernel) startService(fxCtx context.Context, name string, s Service) error {
	ctx := fxCtx.Value(startKey{}).(context.Context)
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("starting service %q: %w", name, err)
	}
	begin := time.Now()
	if err := s.Start(ctx); err != nil {
		return fmt.Errorf("starting service %q: %w", name, err)
	}
	k.log.Debug("service started", "service", name, "took", time.Since(begin))
	return nil
}

func (k *Kernel) stopService(fxCtx context.Context, name string, s Service) error {
	ctx, ok := fxCtx.Value(stopKey{}).(context.Context)
	if !ok { // fx calls the hook to roll back a failed start.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(fxCtx, rollbackTimeout)
		defer cancel()
	}
	begin := time.Now()
	err := s.Stop(ctx)
	if err != nil {
		k.log.Error("stopping a service failed", "service", name, "err", err)
		return fmt.Errorf("stopping service %q: %w", name, err)
	}
	k.log.Debug("service stopped", "service", name, "took", time.Since(begin))
	return nil
}
