package entry

import (
	"crypto/tls"
	"errors"
	"time"

	"samphirepoint/auth"
	"samphirepoint/settings"
)

// loadCredentials reads the token file and the TLS certificates.
func (e *Entry) loadCredentials() error {
	if e.cfg.Tokens == "" {
		return errors.New("settings: tokens: missing, expected the name of the token file; an entry requires authentication")
	}
	tokens, err := auth.Open(e.cfg.Tokens)
	if err != nil {
		return err
	}
	e.tokens, e.verifier = tokens, tokens
	if e.cfg.CallerTLS.Enabled() {
		if e.callerTLS, err = auth.ServerTLS(tlsFiles(e.cfg.CallerTLS)); err != nil {
			return err
		}
	}
	if e.cfg.PeerTLS.Enabled() {
		if e.peerTLS, err = auth.ServerTLS(tlsFiles(e.cfg.PeerTLS)); err != nil {
			return err
		}
	}
	return nil
}

func tlsFiles(t settings.TLS) auth.Files {
	return auth.Files{Certificate: t.Certificate, Key: t.Key, Authorities: t.Authorities}
}

func (e *Entry) peerClientTLS() *tls.Config {
	if !e.cfg.PeerTLS.Enabled() {
		return nil
	}
	c, err := auth.ClientTLS(tlsFiles(e.cfg.PeerTLS))
	if err != nil {
		e.log.Error().Err(err).Msg("peer TLS cannot be used")
		return nil
	}
	return c
}

// tokenReloadInterval is the time between checks of the token file for changes.
const tokenReloadInterval = 5 * time.Second

func (e *Entry) logTokenError(err error) {
	e.log.Error().Err(err).Msg("token file could not be reloaded; the previous tokens stay valid")
}
