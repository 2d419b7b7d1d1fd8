// Package fairshare divides the capacity of a service among customers while it is too small for all of
// them.
//
// It answers a load in which one customer sends many times its usual work while the slots of a service
// are nearly all in use. Without shares, requests are refused whoever sent them, so the customers that
// send what they usually do pay for the one that doesn't.
//
// Shares hold within a class, that is, among the requests of one urgency at one service. How much of a
// class is accepted is decided elsewhere; this package decides whose requests these are. Each customer
// has a weight, the work of it that was accepted over the last minutes, and capacity is divided by
// weighted max-min fairness: customers that offer less than their share get all of it, and what they
// leave goes to the others in proportion to their weights.
//
// A daemon sees a few requests a second, so its own requests say little about a customer. Daemons
// therefore exchange the work that they were offered, as part of the messages about loads of servers.
// The sums are kept in memory only and decay, so nothing has to be corrected when a daemon ends.
package fairshare
