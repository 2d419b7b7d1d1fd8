// Package test holds multi-process tests. They run the project's own programs on
// loopback addresses, inject faults from a fixed script and check the recorded
// history against the invariants of package proof.
package test
