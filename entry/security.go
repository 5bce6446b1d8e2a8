package entry

import (
	"crypto/tls"
	"errors"
	"time"

	"samphirepoint/auth"
	"samphirepoint/settings"
)

func (e *Entry) openSecurity() error {
	if e.cfg.Tokens == "" {
		return errors.New("settings: tokens: missing, expected the name of the token file; an entry does not run without authentication")
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

// tokenReload is the time between looks at the token file.
const tokenReload = 5 * time.Second

func (e *Entry) tokenError(err error) {
	e.log.Error().Err(err).Msg("token file was not reloaded, the former tokens stay valid")
}
