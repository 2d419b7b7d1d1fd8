// Package scheduler queues reservations for the backend servers assigned to
// this daemon and grants their slots in tier order.
package scheduler
