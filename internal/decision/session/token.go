package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"gypsumpitch.example/gypsumpitch/internal/decision/tables"
)

// ErrBadToken means that a token is malformed or not signed by a known key.
var ErrBadToken = errors.New("session token is malformed or signed by an unknown key")

// Token is the session state that the client sends with each request, so that any
// daemon can serve the session without a look-up.
type Token struct {
	Account string `json:"a"`
	Route   string `json:"r"`
	Session string `json:"s"`
	Pins    Pins   `json:"p"`
}

// Sign returns the token encoded as "key ID.payload.MAC".
func Sign(t Token, key tables.SessionKey) (string, error) {
	payload, err := json.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "encode session token")
	}
	encoded := base64.RawURLEncoding.EncodeToString(payload)
	return key.ID + "." + encoded + "." + mac(key, encoded), nil
}

// Verify decodes a signed token. It returns ErrBadToken if none of the keys signed it.
func Verify(text string, keys []tables.SessionKey) (Token, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return Token{}, ErrBadToken
	}
	for _, key := range keys {
		if key.ID == parts[0] && hmac.Equal([]byte(mac(key, parts[1])), []byte(parts[2])) {
			return decode(parts[1])
		}
	}
	return Token{}, ErrBadToken
}

func decode(encoded string) (Token, error) {
	payload, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return Token{}, ErrBadToken
	}
	var t Token
	if err := json.Unmarshal(payload, &t); err != nil {
		return Token{}, ErrBadToken
	}
	return t, nil
}

func mac(key tables.SessionKey, encoded string) string {
	h := hmac.New(sha256.New, []byte(key.Secret))
	_, _ = h.Write([]byte(key.ID + "." + encoded))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}
