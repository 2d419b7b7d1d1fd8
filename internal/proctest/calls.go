package proctest

import (
	"io"
	"net"
	"time"
)

// connectTimeout limits the wait for a connection.
const connectTimeout = 3 * time.Second

// CallUntilRefused sends HTTP requests on new connections until the port refuses one. It returns
// the number of connections that were established and got no response.
func CallUntilRefused(addr string) (lost int) {
	for {
		conn, err := net.DialTimeout("tcp", addr, connectTimeout)
		if err != nil {
			return lost
		}
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		response, _ := io.ReadAll(conn)
		_ = conn.Close()
		if len(response) == 0 {
			lost++
		}
	}
}
