package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"

	"github.com/pkg/errors"
)

const (
	nonceBytes = 16
	// maxHandshakeBytes is more than any message of the handshake has.
	maxHandshakeBytes = 256
)

// The role is part of the proof, so that a proof can't be sent back to its author.
const (
	roleClient = "caller"
	roleServer = "answerer"
)

type nonceMessage struct {
	Nonce []byte `json:"nonce"`
}

type proofMessage struct {
	Proof []byte `json:"proof"`
}

// handshake authenticates both sides to each other: each proves by an HMAC over the two
// nonces that it has the key.
func handshake(conn io.ReadWriter, key, role, otherRole string) error {
	ownNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return errors.Wrap(err, "generate nonce")
	}
	if err := writeFrame(conn, nonceMessage{ownNonce}); err != nil {
		return err
	}
	var other nonceMessage
	if err := readHandshake(conn, &other); err != nil {
		return err
	}
	if err := writeFrame(conn, proofMessage{computeProof(key, role, ownNonce, other.Nonce)}); err != nil {
		return err
	}
	var proof proofMessage
	if err := readHandshake(conn, &proof); err != nil {
		return err
	}
	if !hmac.Equal(proof.Proof, computeProof(key, otherRole, other.Nonce, ownNonce)) {
		return errors.New("peer authentication failed: the peer has a different key")
	}
	return nil
}

// readHandshake reads a message of the handshake.
func readHandshake(conn io.Reader, message any) error {
	size, err := readFrameSize(conn, maxHandshakeBytes)
	if err != nil {
		return err
	}
	_, err = readFrameBody(conn, size, message, uncounted{})
	return err
}

func computeProof(key, role string, ownNonce, otherNonce []byte) []byte {
	h := hmac.New(sha256.New, []byte(key))
	_, _ = h.Write([]byte(role))
	_, _ = h.Write(ownNonce)
	_, _ = h.Write(otherNonce)
	return h.Sum(nil)
}
