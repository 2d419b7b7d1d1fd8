//go:build !linux

package ingress

import "net"

// acceptBacklog returns no connections on systems other than Linux.
func acceptBacklog(*net.TCPListener) ([]net.Conn, error) { return nil, nil }

// mayHaveReceived reports whether bytes that were not read yet may have been received
// on a connection.
func mayHaveReceived(net.Conn) bool { return true }
