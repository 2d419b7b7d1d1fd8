// Package test holds proofs across processes: it runs the project's own
// programs on loopback addresses, causes faults by a fixed script and checks
// the recorded history.
package test
