package auth

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/verdict"
)

func request(token string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return r
}

// Guards against accepting a missing, unknown or hashed token, and against a 401 without verdict not-run.
func TestIdentify(t *testing.T) {
	g := NewWithT(t)
	token, entry := NewToken("pumps", RoleBacker)
	s, err := Static([]Entry{entry})
	g.Expect(err).NotTo(HaveOccurred())
	p, err := s.Identify(request(token))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p).To(Equal(Principal{Name: "pumps", Role: RoleBacker}))
	for _, invalid := range []string{"", "x", entry.Hash, token + "0", token[1:]} {
		_, err = s.Identify(request(invalid))
		g.Expect(verdict.Status(err)).To(Equal(http.StatusUnauthorized))
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	}
}

// Guards against a rotation of the peer token during which entries reject each other, because the old and the new token
// are both in use.
func TestPeerTokensOverlap(t *testing.T) {
	g := NewWithT(t)
	oldToken, _ := NewToken("peer", RolePeer)
	newToken, _ := NewToken("peer", RolePeer)
	s, err := Static(nil, newToken, oldToken)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.PeerToken()).To(Equal(newToken))
	for _, token := range []string{oldToken, newToken} {
		p, err := s.Identify(request(token))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Role).To(Equal(RolePeer))
	}
}

// Guards against an invalid file that removes all tokens, and against a token that is accepted after its removal.
func TestReload(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	write := func(text string) { g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
	token, entry := NewToken("pumps", RoleBacker)
	write(fmt.Sprintf("tokens:\n  - {name: pumps, role: backer, hash: %s}\n", entry.Hash))
	s, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())

	for _, invalid := range []string{"tokens:\n  - {name: x, rol: backer}\n", "tokens: [{name: x, role: peer, hash: aa}]", "peerTokens: [short]"} {
		write(invalid)
		_, err = s.reload()
		g.Expect(err).To(HaveOccurred())
		_, err = s.Identify(request(token))
		g.Expect(err).NotTo(HaveOccurred())
	}
	write("tokens: []\n")
	changed, err := s.reload()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	_, err = s.Identify(request(token))
	g.Expect(err).To(HaveOccurred())
}

// issueCertificate writes a certificate for 127.0.0.1, self-signed if ca is nil, and returns its files.
func issueCertificate(g *WithT, dir string, serial int64, ca *x509.Certificate, caKey *ecdsa.PrivateKey) (Files, *x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	if ca == nil {
		template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
		ca, caKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	g.Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	f := Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	g.Expect(os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600)).To(Succeed())
	return f, cert, key
}

// Guards against accepting peers without a certificate, and against certificates that take effect only after a restart.
func TestPeerTLSRequiresCertificateAndReloadsFiles(t *testing.T) {
	g := NewWithT(t)
	caFiles, ca, caKey := issueCertificate(g, t.TempDir(), 1, nil, nil)
	dir := t.TempDir()
	files, _, _ := issueCertificate(g, dir, 2, ca, caKey)
	files.Authorities = caFiles.Certificate

	serverConfig, err := ServerTLS(files)
	g.Expect(err).NotTo(HaveOccurred())
	clientConfig, err := ClientTLS(files)
	g.Expect(err).NotTo(HaveOccurred())
	listener, err := tls.Listen("tcp", "127.0.0.1:0", serverConfig)
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go server.Serve(listener)
	defer server.Close()

	get := func(c *tls.Config) (*http.Response, error) {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: c, DisableKeepAlives: true}}
		return client.Get("https://" + listener.Addr().String())
	}
	resp, err := get(clientConfig)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.TLS.PeerCertificates[0].SerialNumber.Int64()).To(Equal(int64(2)))
	_, err = get(&tls.Config{RootCAs: clientConfig.RootCAs})
	g.Expect(err).To(HaveOccurred())

	r, err := newReloader(files)
	g.Expect(err).NotTo(HaveOccurred())
	_, renewed, _ := issueCertificate(g, dir, 3, ca, caKey)
	g.Expect(r.load()).To(Succeed())
	g.Expect(r.current.certificate.Leaf.SerialNumber).To(Equal(renewed.SerialNumber))
	g.Expect(os.WriteFile(files.Key, []byte("partial"), 0o600)).To(Succeed())
	g.Expect(r.load()).NotTo(Succeed())
	g.Expect(r.get().certificate.Leaf.SerialNumber).To(Equal(renewed.SerialNumber))
}
