package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"

	"github.com/pkg/errors"
)

const nonceBytes = 16

// The roles keep one side's proof from serving as the other's.
const (
	roleCaller   = "caller"
	roleAnswerer = "answerer"
)

type nonceMessage struct {
	Nonce []byte `json:"nonce"`
}

type proofMessage struct {
	Proof []byte `json:"proof"`
}

// shakeHands proves to the other side, and has it prove, that both have the key.
func shakeHands(conn io.ReadWriter, key, role, otherRole string) error {
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return errors.Wrap(err, "make nonce")
	}
	if err := writeFrame(conn, nonceMessage{own}); err != nil {
		return err
	}
	var other nonceMessage
	if err := readFrame(conn, &other); err != nil {
		return err
	}
	if err := writeFrame(conn, proofMessage{prove(key, role, own, other.Nonce)}); err != nil {
		return err
	}
	var proof proofMessage
	if err := readFrame(conn, &proof); err != nil {
		return err
	}
	if !hmac.Equal(proof.Proof, prove(key, otherRole, other.Nonce, own)) {
		return errors.New("peer doesn't have the key")
	}
	return nil
}

func prove(key, role string, own, other []byte) []byte {
	h := hmac.New(sha256.New, []byte(key))
	_, _ = h.Write([]byte(role))
	_, _ = h.Write(own)
	_, _ = h.Write(other)
	return h.Sum(nil)
}
