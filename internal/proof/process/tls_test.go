package process

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTLSOnEveryListener serves callers, operators and peers over TLS.
func TestTLSOnEveryListener(t *testing.T) {
	d := newDeployment(t)
	d.certFile = filepath.Join(d.dir, "cert.pem")
	pool := writeCertificate(t, d.certFile)
	d.client = &http.Client{Timeout: patience, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	d.start()
	assert.NilError(t, d.chatOK(2))
	// A plain request gets the standard library's refusal, not an answer.
	response, err := http.Get("http://" + d.addresses["entry-1 caller"] + "/v1/models")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}

// writeCertificate makes a self-signed certificate for loopback, with its key
// in the same file.
func writeCertificate(t *testing.T, file string) *x509.CertPool {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "gypsumpitch test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	text := append(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})...)
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(text)
	return pool
}
