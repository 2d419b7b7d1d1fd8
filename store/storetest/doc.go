// Package storetest provides an in-memory platform store and host list with
// faults that tests cause on purpose.
//
// Time passes only through the time package, so a Platform made inside a
// testing/synctest bubble runs in virtual time.
package storetest
