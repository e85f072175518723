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

// protocol is negotiated by TLS; it changes when messages become incompatible.
const protocol = "tamarack-peer/1"

// material is what the files held when they were last read whole.
type material struct {
	ca          *x509.CertPool
	certificate tls.Certificate
	sources     [3][]byte
}

// credentials reads the certificate files anew for each handshake, so that new
// ones are used without a restart. While the files do not fit together, the
// last ones that did stay in use.
type credentials struct {
	files config.PeerTLS

	mu   sync.Mutex
	last *material
	bad  bool
}

// load returns the newest usable material.
func (c *credentials) load() (*material, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh, err := c.read()
	if err == nil {
		c.last = fresh
		c.bad = false
		return fresh, nil
	}
	if c.last == nil {
		return nil, err
	}
	if !c.bad {
		c.bad = true
		telemetry.LogState("peer certificates cannot be read; the last ones stay in use", c.files.CertFile, err.Error())
	}
	return c.last, nil
}

func (c *credentials) read() (*material, error) {
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
		return nil, errors.Wrap(err, "peer_tls cert_file and key_file do not fit; write both anew")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(sources[0]) {
		return nil, errors.New("peer_tls ca_file holds no certificate; name a PEM file")
	}
	return &material{ca: pool, certificate: certificate, sources: sources}, nil
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

// server returns the configuration for peers that dial; each must show a
// certificate of the CA.
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

// client returns the configuration to dial a node; its certificate must name it.
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

// tlsConfig returns what both ends of a connection have in common.
func (l *material) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{l.certificate},
	}
}
