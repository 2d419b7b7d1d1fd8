package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/settings"
)

// Names of the kernel's services.
const (
	platformName    = "platform"
	peerName        = "peer"
	membershipName  = "membership"
	bundleName      = "bundle"
	schedulerName   = "scheduler"
	reservationName = "reservation"
	dispatchName    = "dispatch"
	claimsName      = "claims"
	quarantineName  = "quarantine"
	gatewayName     = "gateway"
	callersName     = "callers.http"
	operatorsName   = "operators.http"
	reportName      = "membership.report"
)

// builder constructs the services of one daemon. It holds the settings and the
// telemetry that all of them use.
type builder struct {
	settings *settings.Settings
	log      *log.Logger
	metrics  metrics.Registry
	tracer   trace.Tracer
	// started is the start time of the daemon in Unix milliseconds. It
	// distinguishes this run of the daemon from earlier ones.
	started uint64
	// resolve returns the address of a peer. It is nil until the membership
	// service is built.
	resolve atomic.Pointer[func(string) (string, bool)]
}

// Modules describes the services of one daemon and their dependencies.
func Modules(s *settings.Settings, logger *log.Logger, tracer trace.Tracer) []kernel.Module {
	b := &builder{
		settings: s,
		log:      logger,
		metrics:  metrics.NewRegistry(),
		tracer:   tracer,
		started:  uint64(time.Now().UnixMilli()),
	}
	return []kernel.Module{
		{Name: platformName, New: b.newPlatform},
		{Name: peerName, New: b.newPeer},
		{Name: membershipName, Requires: []string{platformName, peerName}, New: b.newMembership},
		{Name: bundleName, Requires: []string{platformName, peerName, membershipName}, New: b.newBundle},
		{Name: schedulerName, Requires: []string{peerName, membershipName, bundleName}, New: b.newScheduler},
		{Name: reservationName, Requires: []string{peerName, membershipName, bundleName}, New: b.newReservation},
		{Name: dispatchName, New: b.newDispatch},
		{Name: claimsName, Requires: []string{platformName, membershipName, bundleName}, New: b.newClaims},
		{Name: quarantineName, Requires: []string{peerName, membershipName}, New: b.newQuarantine},
		{
			Name:     gatewayName,
			Requires: []string{membershipName, bundleName, schedulerName, reservationName, dispatchName, claimsName, quarantineName},
			New:      b.newGateway,
		},
		{Name: reportName, Requires: []string{membershipName, bundleName, gatewayName}, New: b.newReport},
		{
			Name:     operatorsName,
			Requires: []string{platformName, peerName, membershipName, bundleName, schedulerName},
			New:      b.newOperators,
		},
		{
			Name:     callersName,
			Requires: []string{membershipName, bundleName, gatewayName, operatorsName, reportName},
			New:      b.newCallers,
		},
	}
}

// serviceFinder looks up the services that a module requires. It keeps the first
// error, after which further lookups do nothing.
type serviceFinder struct {
	registry kernel.Registry
	err      error
}

// find returns the service registered under name. It returns the zero value if
// this lookup or an earlier one failed.
func find[T any](f *serviceFinder, name string) T {
	var service T
	if f.err == nil {
		service, f.err = kernel.Get[T](f.registry, name)
	}
	return service
}

// noLifecycle provides a Start and a Stop that do nothing. Services embed it and
// define those that they need.
type noLifecycle struct{}

// Start implements kernel.Service.
func (noLifecycle) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (noLifecycle) Stop(context.Context) error { return nil }
