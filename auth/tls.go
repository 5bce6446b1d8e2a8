package auth

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// certificateCheckInterval is the minimum time between two reads of the certificate files; handshakes trigger the reads.
const certificateCheckInterval = 10 * time.Second

// Files names the PEM files of one side of a TLS connection.
type Files struct {
	Certificate string
	Key         string
	// Authorities contains the CA certificates that verify the other side. A server with authorities requires a client
	// certificate.
	Authorities string
}

// ServerTLS returns a configuration that reloads the files when they change. It returns nil without error if no
// certificate is named.
func ServerTLS(f Files) (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	r, err := newReloader(f)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get().certificate, nil },
	}
	if f.Authorities == "" {
		return config, nil
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = r.get().authorities
	base := config.Clone()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := base.Clone()
		c.ClientCAs = r.get().authorities
		return c, nil
	}
	return config, nil
}

// ClientTLS returns a configuration for calls to other entries, whose certificates must contain their IP address. The
// client certificate is reloaded when its files change. The authorities are read once: before certificates of a new
// authority are installed, add the authority to the bundle and restart the entry.
func ClientTLS(f Files) (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	r, err := newReloader(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		RootCAs:              r.get().authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.get().certificate, nil },
	}, nil
}

// credentials holds the parsed content of the files.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// reloader reads the files again when a handshake needs them, at most once per certificateCheckInterval.
type reloader struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	raw     [3][]byte
	current credentials
}

func newReloader(f Files) (*reloader, error) {
	r := &reloader{files: f}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.checked = time.Now()
	return r, nil
}

// get returns the latest valid credentials. While files are being replaced, so that key and certificate do not match, the
// previous credentials stay in force until the next check.
func (r *reloader) get() credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) >= certificateCheckInterval {
		r.checked = time.Now()
		_ = r.load()
	}
	return r.current
}

func (r *reloader) load() error {
	var raw [3][]byte
	for i, name := range []string{r.files.Certificate, r.files.Key, r.files.Authorities} {
		if name == "" {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		raw[i] = data
	}
	if r.current.certificate != nil && bytes.Equal(raw[0], r.raw[0]) && bytes.Equal(raw[1], r.raw[1]) && bytes.Equal(raw[2], r.raw[2]) {
		return nil
	}
	certificate, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return fmt.Errorf("%s, %s: %w", r.files.Certificate, r.files.Key, err)
	}
	next := credentials{certificate: &certificate}
	if r.files.Authorities != "" {
		next.authorities = x509.NewCertPool()
		if !next.authorities.AppendCertsFromPEM(raw[2]) {
			return fmt.Errorf("%s: no PEM-encoded certificate", r.files.Authorities)
		}
	}
	r.raw, r.current = raw, next
	return nil
}
