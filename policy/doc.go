// Package policy holds the decisions of the scheduler and the gateway as pure
// code: plain data and a time in, a decision out. It does no I/O, starts no
// goroutines and never reads the clock.
package policy
