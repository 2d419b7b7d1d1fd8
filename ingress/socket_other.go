//go:build !linux

package ingress

import "net"

// acceptBacklog returns no connections on systems other than Linux.
func acceptBacklog(*net.TCPListener) ([]net.Conn, error) { return nil, nil }
