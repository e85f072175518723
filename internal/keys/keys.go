// Package keys makes a test certificate authority and the keys of nodes for the
// mutual TLS between entry VMs.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// certificateLife is how long test certificates are valid.
	certificateLife = 365 * 24 * time.Hour
	// clockSkew is how far clocks of nodes may differ.
	clockSkew   = time.Hour
	serialBits  = 128
	secretMode  = 0o600
	publicMode  = 0o644
	certificate = "CERTIFICATE"
	privateKey  = "PRIVATE KEY"
)

// Authority signs the certificates of nodes.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority makes a certificate authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make CA key")
	}
	template, err := newTemplate("tamarackreach test CA")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse CA certificate")
	}
	return &Authority{cert: cert, key: key, pem: encodePEM(certificate, der)}, nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "make serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(certificateLife),
	}, nil
}

// WriteAuthority writes the CA certificate to ca.pem in a directory.
func (a *Authority) WriteAuthority(dir string) error {
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "ca.pem"), a.pem, publicMode), "write CA certificate")
}

// WriteNode makes a key for a node and writes NAME.pem and NAME-key.pem.
func (a *Authority) WriteNode(dir, name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make node key")
	}
	template, err := newTemplate(name)
	if err != nil {
		return err
	}
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrap(err, "sign node certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode node key")
	}
	if err := os.WriteFile(filepath.Join(dir, name+".pem"), encodePEM(certificate, der), publicMode); err != nil {
		return errors.Wrap(err, "write node certificate")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, name+"-key.pem"), encodePEM(privateKey, keyDER), secretMode), "write node key")
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
