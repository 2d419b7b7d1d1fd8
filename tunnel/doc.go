// Package tunnel carries connections to backend servers through other daemons.
//
// A daemon that has lost its path to a server opens a stream to another daemon, which connects to the
// server and copies bytes both ways. The first daemon still speaks with the server itself, so what is
// known about the execution of a request doesn't change. A tunnel has one hop: the daemon in the middle
// only uses its own direct path.
//
// Bytes from the server are sent in frames. The end of the server's stream is a frame of its own, so that
// a daemon in the middle that is killed isn't taken for a server that has ended its response.
package tunnel
