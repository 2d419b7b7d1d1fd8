// Package measure compares the router with simpler routing policies. The
// scheduler and reservation services run unchanged in virtual time over
// in-memory links. The backend servers are simulated, and all policies get the
// same arrivals and the same faults.
//
// "make measure" runs it and writes docs/MEASUREMENTS.md.
package measure
