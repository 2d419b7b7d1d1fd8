// Package metering counts the requests that servers began for each customer in windows of the wall
// clock, over all daemons, and reports each window once.
//
// Each daemon counts in short slots and sends its counts to the daemon that leads the role. The
// leader decides the counts of a window, stores them in the platform's store and reports them. A later leader
// repeats what is stored, so a window is never reported with different counts.
//
// Slots are told by their age, so clocks of daemons don't matter. The time that windows are cut by is the median
// of all daemons' clocks.
package metering
