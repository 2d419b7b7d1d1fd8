// Package election elects one daemon at a time to act for all in a role, by a lease in the platform's
// store.
//
// The record of a role is created under a lease, on the condition that it doesn't exist. Its revision is the
// fencing token of the term: tokens grow with each change of the leader, and no two terms share one.
//
// A leader that is paused, suspended or cut off stops acting before its lease can end: its term is
// counted from before the last renewal was sent, by a clock that suspension doesn't stop. A leader whose term has
// ended never renews that lease again.
package election
