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

// TestTLSOnEveryListener guards against a listener that ignores the TLS settings. The
// daemons must serve callers, operators and peers over TLS, and the caller listener must
// reject plain HTTP.
func TestTLSOnEveryListener(t *testing.T) {
	d := newDeployment(t)
	d.certFile = filepath.Join(d.dir, "cert.pem")
	pool := writeCertificate(t, d.certFile)
	d.client = &http.Client{Timeout: eventuallyTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	d.start()
	assert.NilError(t, d.chatOK(2))
	// net/http rejects a plain HTTP request on a TLS listener with status 400.
	response, err := http.Get("http://" + d.addresses["entry-1 caller"] + "/v1/models")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key to one file,
// and returns a pool that trusts it.
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
	data := append(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})...)
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	return pool
}
