//go:build !linux

package drainlisten

import "net"

// dropRequests reports that connection requests can't be dropped.
func (l *Listener) dropRequests() bool { return false }

func acceptPackets(net.Conn) {}

// acceptWaiting returns no connection on systems other than Linux.
func (l *Listener) acceptWaiting() (net.Conn, error) { return nil, net.ErrClosed }
