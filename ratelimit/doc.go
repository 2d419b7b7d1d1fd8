// Package ratelimit keeps the rates of requests to which backend servers limit all daemons
// together.
//
// A server states its limit in its responses. Daemons pass statements on to each other
// and share the limit without asking each other before a request: time is divided into
// slots, each slot permits a number of requests, and each slot of a server belongs to one
// daemon, chosen by consistent hashing. Daemons that know the same limit and the same
// daemons therefore agree on who may send, and their sum is the limit. No daemon gets a
// share too small to use: a limit of one request per second gives each of 300 daemons
// a slot of one second every 300 seconds on average.
//
// The clocks of the daemons should agree to within a fraction of a second. A daemon whose
// clock is wrong uses as many slots as before, but at times that overlap with those of others.
package ratelimit
