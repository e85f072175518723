package peerlink

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/config"
	"tamarackreach/internal/model"
	"tamarackreach/internal/telemetry"
)

// protocol is the ALPN protocol; it changes when messages become incompatible.
const protocol = "tamarack-peer/1"

// keyMaterial is the content of the files when they last loaded without error.
type keyMaterial struct {
	ca          *x509.CertPool
	certificate tls.Certificate
	sources     [3][]byte
}

// credentials reads the certificate files at each handshake, so that new ones are
// used without a restart. While the files cannot be read or do not match, the last
// valid key material stays in use.
type credentials struct {
	files config.PeerTLS

	mu   sync.Mutex
	last *keyMaterial
	// stale is true while the files cannot be loaded, so that the failure is
	// logged once.
	stale bool
}

// load returns the newest usable key material.
func (c *credentials) load() (*keyMaterial, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh, err := c.read()
	if err == nil {
		c.last = fresh
		c.stale = false
		return fresh, nil
	}
	if c.last == nil {
		return nil, err
	}
	if !c.stale {
		c.stale = true
		telemetry.LogState("peer certificates cannot be read; the last ones stay in use", c.files.CertFile, err.Error())
	}
	return c.last, nil
}

// read reads the files; it returns the last key material if they did not change.
func (c *credentials) read() (*keyMaterial, error) {
	var sources [3][]byte
	for i, file := range []string{c.files.CAFile, c.files.CertFile, c.files.KeyFile} {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read peer_tls file")
		}
		sources[i] = data
	}
	if c.last != nil && sameSources(&sources, &c.last.sources) {
		return c.last, nil
	}
	certificate, err := tls.X509KeyPair(sources[1], sources[2])
	if err != nil {
		return nil, errors.Wrap(err, "peer_tls cert_file and key_file do not match; replace both")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(sources[0]) {
		return nil, errors.New("peer_tls ca_file contains no certificate; it must be a PEM file")
	}
	return &keyMaterial{ca: pool, certificate: certificate, sources: sources}, nil
}

func sameSources(a, b *[3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

func (c *credentials) keyPEM() []byte {
	loaded, err := c.load()
	if err != nil {
		return nil
	}
	return loaded.sources[2]
}

// server returns the TLS configuration for incoming connections; each peer must
// present a certificate signed by the CA.
func (c *credentials) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded, err := c.load()
			if err != nil {
				return nil, err
			}
			config := loaded.tlsConfig()
			config.ClientAuth = tls.RequireAndVerifyClientCert
			config.ClientCAs = loaded.ca
			return config, nil
		},
	}
}

// client returns the TLS configuration to dial a node, whose certificate must
// name it.
func (c *credentials) client(node model.NodeID) (*tls.Config, error) {
	loaded, err := c.load()
	if err != nil {
		return nil, err
	}
	config := loaded.tlsConfig()
	config.RootCAs = loaded.ca
	config.ServerName = string(node)
	return config, nil
}

// tlsConfig returns the settings that are the same for both ends of a connection.
func (l *keyMaterial) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{l.certificate},
	}
}
