// Package scheduler queues reservations for the backend servers that this daemon
// owns and grants the servers' slots in tier order. It also defines the messages
// between schedulers and gateways.
package scheduler
