package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"
)

// Limits of the handshake.
const (
	handshakeTimeout  = 3 * time.Second
	maxHandshakeBytes = 512
	nonceBytes        = 16
)

// Errors returned by the handshake.
var (
	ErrBadKey    = errors.New("peer does not hold an accepted shared key")
	ErrWrongPeer = errors.New("address belongs to another peer")
)

// hello is the first message of the dialer. It names both ends, so that the
// handshake fails if the address now belongs to another daemon, such as after a
// host was replaced.
type hello struct {
	From    string
	To      string
	Nonce   []byte
	Purpose purpose
}

// purpose is what a connection is for.
type purpose uint8

const (
	// linkPurpose carries messages.
	linkPurpose purpose = iota
	// streamPurpose carries a Stream.
	streamPurpose
)

// Kind implements Message.
func (*hello) Kind() Kind { return KindHello }

// auth proves that its sender holds a shared key. The acceptor also sends its
// nonce in it.
type auth struct {
	Nonce []byte
	MAC   []byte
}

// Kind implements Message.
func (*auth) Kind() Kind { return KindAuth }

// heartbeat is a liveness request or the reply to received messages.
type heartbeat struct {
	// Reply distinguishes a reply from a request.
	Reply bool
}

// Kind implements Message.
func (*heartbeat) Kind() Kind { return KindHeartbeat }

// Roles of the two ends. The role is part of the MAC, so that the MAC of one end
// can't be sent back as that of the other.
const (
	dialerRole   = "dialer"
	acceptorRole = "acceptor"
)

// transcript holds the handshake values that both ends authenticate with a MAC.
type transcript struct {
	dialer, acceptor           string
	dialerNonce, acceptorNonce []byte
	purpose                    purpose
}

// mac returns the MAC of the transcript for a role. Every part is preceded by
// its length, so that no two transcripts have the same encoding.
func (t *transcript) mac(key []byte, role string) []byte {
	h := hmac.New(sha256.New, key)
	parts := [][]byte{[]byte(role), []byte(t.dialer), []byte(t.acceptor), t.dialerNonce, t.acceptorNonce}
	if t.purpose != linkPurpose { // The MAC of a link is that of earlier versions.
		parts = append(parts, []byte{byte(t.purpose)})
	}
	for _, part := range parts {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

// verify reports whether mac was made with one of the keys for the given role.
func (t *transcript) verify(keys [][]byte, role string, mac []byte) bool {
	ok := false
	for _, k := range keys {
		if hmac.Equal(t.mac(k, role), mac) {
			ok = true
		}
	}
	return ok
}

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	rand.Read(n) // Read never fails.
	return n
}

// dialHandshake runs the dialer's side of the mutual authentication. It returns
// after the acceptor has confirmed the link.
func dialHandshake(conn net.Conn, r *bufio.Reader, c *Config, to string, p purpose) error {
	t := transcript{dialer: c.Self, acceptor: to, dialerNonce: newNonce(), purpose: p}
	if err := writeMessage(conn, &hello{From: c.Self, To: to, Nonce: t.dialerNonce, Purpose: p}); err != nil {
		return err
	}
	var response auth
	if err := readHandshake(r, &response); err != nil {
		return err
	}
	t.acceptorNonce = response.Nonce
	if !t.verify(c.Keys, acceptorRole, response.MAC) {
		return ErrBadKey
	}
	if err := writeMessage(conn, &auth{MAC: t.mac(c.Keys[0], dialerRole)}); err != nil {
		return err
	}
	return readHandshake(r, &heartbeat{})
}

// acceptHandshake runs the acceptor's side of the mutual authentication and
// returns the hello of the dialer, which is not verified if there is an error.
func acceptHandshake(conn net.Conn, r *bufio.Reader, c *Config) (hello, error) {
	var h hello
	if err := readHandshake(r, &h); err != nil {
		return h, err
	}
	if h.To != c.Self {
		return h, ErrWrongPeer
	}
	if len(h.Nonce) != nonceBytes || h.From == "" {
		return h, ErrMalformed
	}
	t := transcript{
		dialer: h.From, acceptor: c.Self, dialerNonce: h.Nonce, acceptorNonce: newNonce(), purpose: h.Purpose,
	}
	response := &auth{Nonce: t.acceptorNonce, MAC: t.mac(c.Keys[0], acceptorRole)}
	if err := writeMessage(conn, response); err != nil {
		return h, err
	}
	var proof auth
	if err := readHandshake(r, &proof); err != nil {
		return h, err
	}
	if !t.verify(c.Keys, dialerRole, proof.MAC) {
		return h, ErrBadKey
	}
	return h, writeMessage(conn, &heartbeat{Reply: true})
}

func writeMessage(conn net.Conn, m Message) error {
	frame, err := AppendFrame(nil, m)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

// readHandshake reads a message of the kind of m, at most maxHandshakeBytes long.
func readHandshake(r *bufio.Reader, m Message) error {
	frame, err := readFrame(r, nil, maxHandshakeBytes)
	if err != nil {
		return err
	}
	kind, payload, err := SplitFrame(frame)
	if err != nil {
		return err
	}
	if kind != m.Kind() {
		return fmt.Errorf("handshake message of kind %d, want %d: %w", kind, m.Kind(), ErrMalformed)
	}
	return Decode(payload, m)
}
