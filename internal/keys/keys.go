// Package keys generates a test certificate authority and the keys of nodes for
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
	// certificateValidity is how long test certificates are valid.
	certificateValidity = 365 * 24 * time.Hour
	// clockSkew is the maximum clock difference between nodes; certificates are
	// valid from that long before they are issued.
	clockSkew        = time.Hour
	serialBits       = 128
	keyFileMode      = 0o600
	certFileMode     = 0o644
	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "PRIVATE KEY"
)

// Authority signs the certificates of nodes.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority generates a certificate authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate CA key")
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
	return &Authority{cert: cert, key: key, pem: encodePEM(certificateBlock, der)}, nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(certificateValidity),
	}, nil
}

// WriteAuthority writes the CA certificate to ca.pem in a directory.
func (a *Authority) WriteAuthority(dir string) error {
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "ca.pem"), a.pem, certFileMode), "write CA certificate")
}

// WriteNode generates a key for a node and writes NAME.pem, its certificate, and
// NAME-key.pem to a directory.
func (a *Authority) WriteNode(dir, name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate node key")
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
	if err := os.WriteFile(filepath.Join(dir, name+".pem"), encodePEM(certificateBlock, der), certFileMode); err != nil {
		return errors.Wrap(err, "write node certificate")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, name+"-key.pem"), encodePEM(privateKeyBlock, keyDER), keyFileMode), "write node key")
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
