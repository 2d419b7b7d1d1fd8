// Package storetest provides an in-memory platform store and host list with
// fault injection.
//
// All delays use the time package, so a Platform that is created in a
// testing/synctest bubble runs in virtual time.
package storetest
