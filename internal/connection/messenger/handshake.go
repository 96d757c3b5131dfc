package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/go-faster/errors"
)

// handleHello negotiates the protocol version and returns the [Welcome] with
// the proof of this process.
func (c *Conn) handleHello(m Message) (any, error) {
	if err := m.Decode(&c.hello); err != nil {
		return nil, err
	}
	if c.nonce != nil {
		return nil, &Error{Op: "handshake", Kind: ErrorProtocol, Err: errors.New("second hello on one connection")}
	}
	version := min(MaxVersion, c.hello.MaxVersion)
	if version < MinVersion || version < c.hello.MinVersion {
		return nil, &Error{Op: "handshake", Kind: ErrorVersion, Err: errors.Errorf("peer speaks versions %d to %d, this process %d to %d", c.hello.MinVersion, c.hello.MaxVersion, MinVersion, MaxVersion)}
	}
	c.Version = version
	c.nonce = newNonce()
	return Welcome{
		Peer: c.options.Self, Version: version, Nonce: c.nonce,
		Proof: computeProof(c.options.Secret, "accept", c.hello.Nonce, c.nonce, c.options.Self),
	}, nil
}

// handleProve verifies the proof of the dialling peer and completes the
// handshake.
func (c *Conn) handleProve(m Message) (any, error) {
	var p Prove
	if err := m.Decode(&p); err != nil {
		return nil, err
	}
	want := computeProof(c.options.Secret, "dial", c.hello.Nonce, c.nonce, c.hello.Peer)
	if c.nonce == nil || !hmac.Equal(want, p.Proof) {
		return nil, &Error{Op: "handshake", Kind: ErrorUnauthenticated, Err: errors.New("wrong proof of the shared secret")}
	}
	c.Peer = c.hello.Peer
	close(c.handshakeDone)
	return struct{}{}, nil
}

// handshake performs the handshake of the dialling peer.
func (c *Conn) handshake(ctx context.Context) error {
	h := Hello{Peer: c.options.Self, MinVersion: MinVersion, MaxVersion: MaxVersion, Nonce: newNonce()}
	var w Welcome
	if err := c.Call(ctx, MethodHello, h, &w); err != nil {
		return err
	}
	if !hmac.Equal(w.Proof, computeProof(c.options.Secret, "accept", h.Nonce, w.Nonce, w.Peer)) {
		return &Error{Op: "handshake", Kind: ErrorUnauthenticated, Err: errors.New("wrong proof of the shared secret")}
	}
	p := Prove{Proof: computeProof(c.options.Secret, "dial", h.Nonce, w.Nonce, h.Peer)}
	if err := c.Call(ctx, MethodProve, p, nil); err != nil {
		return err
	}
	c.Peer, c.Version = w.Peer, w.Version
	close(c.handshakeDone)
	return nil
}

// computeProof returns a MAC over the identity of a peer and both nonces. The
// input contains the side, "dial" or "accept", which prevents the reflection of
// a proof to the peer that sent it.
func computeProof(secret []byte, side string, dialNonce, acceptNonce []byte, p Peer) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(side), dialNonce, acceptNonce, []byte(p.Role), []byte(p.Identity), []byte(p.AvailabilityZone)} {
		sum := sha256.Sum256(part)
		mac.Write(sum[:])
	}
	return mac.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b)
	return b
}
