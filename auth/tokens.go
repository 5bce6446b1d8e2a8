package auth

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"go.yaml.in/yaml/v3"

	"samphirepoint/verdict"
)

const (
	// ReloadInterval is the usual interval for Watch: a new token is accepted within a few seconds.
	ReloadInterval = 2 * time.Second
	// tokenBytes is the length of a generated token before encoding; 256 bits cannot be guessed.
	tokenBytes = 32
	// minPeerTokenLength is the minimum length of a peer token, to reject tokens that were typed by hand.
	minPeerTokenLength = 32
	// maxTokenLength bounds the work for a request of an unauthenticated sender.
	maxTokenLength = 512
	// maxFileBytes bounds the token file; 10,000 tokens take about 1.5 MB.
	maxFileBytes = 16 << 20
)

// Entry describes one bearer token in the token file, which does not contain the token itself.
type Entry struct {
	Name string `yaml:"name"`
	Role Role   `yaml:"role"`
	// Hash is the hexadecimal SHA-256 of the token.
	Hash string `yaml:"hash"`
}

// file is the YAML form of the token file.
type file struct {
	Tokens []Entry `yaml:"tokens"`
	// PeerTokens are the shared secrets of the entries. All are accepted; the first is sent. To rotate: append the new
	// token at every entry, then move it to the front at every entry, then remove the old one.
	PeerTokens []string `yaml:"peerTokens"`
}

// tokens is an immutable parsed token file.
type tokens struct {
	entries   []digestEntry
	sendToken string
}

type digestEntry struct {
	digest    [sha256.Size]byte
	principal Principal
}

// Store implements Verifier with a token file, which may change while the process runs.
type Store struct {
	path    string
	data    []byte // content at the last load, used only by Watch
	current atomic.Pointer[tokens]
}

// Open loads a token file.
func Open(path string) (*Store, error) {
	s := &Store{path: path}
	if _, err := s.reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Static returns a Store without a file, for tests and for a development setup in one process.
func Static(entries []Entry, peerTokens ...string) (*Store, error) {
	parsed, err := buildTokens(file{Tokens: entries, PeerTokens: peerTokens})
	if err != nil {
		return nil, err
	}
	s := &Store{}
	s.current.Store(parsed)
	return s, nil
}

// Watch reloads the file when its content changes, until ctx ends. While the file is missing or invalid, the previous
// tokens stay in force, and each attempt calls onError, which may be nil.
func (s *Store) Watch(ctx context.Context, interval time.Duration, onError func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if _, err := s.reload(); err != nil && onError != nil {
				onError(err)
			}
		}
	}
}

// reload reads the file and reports whether its content changed. It compares the content, because the resolution of the
// modification time is too coarse on some file systems.
func (s *Store) reload() (bool, error) {
	data, err := readLimited(s.path)
	if err != nil {
		return false, err
	}
	if s.current.Load() != nil && bytes.Equal(data, s.data) {
		return false, nil
	}
	parsed, err := parseTokens(data)
	if err != nil {
		return false, fmt.Errorf("%s: %w", s.path, err)
	}
	s.data = data
	s.current.Store(parsed)
	return true, nil
}

func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("%s: larger than %d bytes", path, maxFileBytes)
	}
	return data, err
}

func parseTokens(data []byte) (*tokens, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	var f file
	if err := dec.Decode(&f); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return buildTokens(f)
}

func buildTokens(f file) (*tokens, error) {
	t := &tokens{}
	seen := map[[sha256.Size]byte]string{}
	add := func(label string, digest [sha256.Size]byte, p Principal) error {
		if other, dup := seen[digest]; dup {
			return fmt.Errorf("%s: same token as %s", label, other)
		}
		seen[digest] = label
		t.entries = append(t.entries, digestEntry{digest, p})
		return nil
	}
	for i, e := range f.Tokens {
		label := fmt.Sprintf("tokens[%d] (%s)", i, e.Name)
		digest, err := e.check()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", label, err)
		}
		if err := add(label, digest, Principal{Name: e.Name, Role: e.Role}); err != nil {
			return nil, err
		}
	}
	for i, secret := range f.PeerTokens {
		label := fmt.Sprintf("peerTokens[%d]", i)
		if len(secret) < minPeerTokenLength || len(secret) > maxTokenLength {
			return nil, fmt.Errorf("%s: has %d characters, expected %d to %d", label, len(secret), minPeerTokenLength, maxTokenLength)
		}
		if err := add(label, sha256.Sum256([]byte(secret)), Principal{Name: "peer", Role: RolePeer}); err != nil {
			return nil, err
		}
	}
	if len(f.PeerTokens) > 0 {
		t.sendToken = f.PeerTokens[0]
	}
	return t, nil
}

func (e Entry) check() ([sha256.Size]byte, error) {
	var digest [sha256.Size]byte
	if e.Name == "" {
		return digest, errors.New("name is empty")
	}
	if _, err := ParseRole(string(e.Role)); err != nil {
		return digest, err
	}
	raw, err := hex.DecodeString(e.Hash)
	if err != nil || len(raw) != len(digest) {
		return digest, fmt.Errorf("hash is not a SHA-256, expected %d hexadecimal digits", 2*len(digest))
	}
	return [sha256.Size]byte(raw), nil
}

// ParseRole parses a role that an entry of the token file may have. RolePeer is granted only by peerTokens.
func ParseRole(s string) (Role, error) {
	switch r := Role(s); r {
	case RoleBacker, RoleViewer, RoleOperator:
		return r, nil
	}
	return "", fmt.Errorf("unknown role %q, expected %s, %s or %s", s, RoleBacker, RoleViewer, RoleOperator)
}

// PeerToken returns the secret that this entry sends to other entries; empty if none is configured.
func (s *Store) PeerToken() string { return s.current.Load().sendToken }

// Identify implements Verifier. Its run time does not depend on which token matches or on how many characters match.
func (s *Store) Identify(r *http.Request) (Principal, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return Principal{}, unauthorized("no bearer token, expected header Authorization: Bearer TOKEN")
	}
	if len(token) > maxTokenLength {
		return Principal{}, unauthorized("bearer token is too long")
	}
	digest := sha256.Sum256([]byte(token))
	var found *digestEntry
	entries := s.current.Load().entries
	for i := range entries {
		if subtle.ConstantTimeCompare(entries[i].digest[:], digest[:]) == 1 {
			found = &entries[i]
		}
	}
	if found == nil {
		return Principal{}, unauthorized("unknown bearer token")
	}
	return found.principal, nil
}

func unauthorized(message string) error {
	return verdict.New(verdict.NotRun, http.StatusUnauthorized, "%s", message)
}

// NewToken returns a random token and its entry for the token file.
func NewToken(name string, role Role) (string, Entry) {
	raw := make([]byte, tokenBytes)
	rand.Read(raw)
	token := base64.RawURLEncoding.EncodeToString(raw)
	digest := sha256.Sum256([]byte(token))
	return token, Entry{Name: name, Role: role, Hash: hex.EncodeToString(digest[:])}
}
