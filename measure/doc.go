// Package measure compares the router with simpler ways of routing. The
// scheduler and reservation services run unchanged in virtual time over
// in-memory links; the backend servers are small fakes that every way of
// routing shares, with the same arrivals.
//
// It is run by "make measure" and writes docs/MEASUREMENTS.md.
package measure
