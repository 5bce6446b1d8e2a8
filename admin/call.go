package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/rs/zerolog"

	"samphirepoint/auth"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// call is one authenticated request with its bounded body.
type call struct {
	ctx      context.Context
	request  *http.Request
	operator string
	body     []byte
}

// rawReply is an answer that is not JSON.
type rawReply struct {
	contentType string
	data        []byte
}

// serve authenticates a request, bounds its body and time, and writes the answer. Changes and refusals are logged
// with the operator's name; kind names the part of the interface.
func serve(v auth.Verifier, log zerolog.Logger, kind string, role auth.Role, answer func(call) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		principal, err := authorize(v, role, r)
		if err != nil {
			writeError(w, err)
			return
		}
		body, err := readBody(w, r)
		if err != nil {
			writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), tableTimeout)
		defer cancel()
		reply, err := answer(call{ctx: ctx, request: r, operator: principal.Name, body: body})
		event := log.Info().Str("operator", principal.Name).Str("method", r.Method).Str("path", r.URL.Path)
		if err != nil {
			event.Err(err).Msg(kind + " request refused")
			writeError(w, err)
			return
		}
		if r.Method != http.MethodGet {
			event.Msg(kind + " request done")
		}
		writeReply(w, reply)
	}
}

// authorize lets operators do everything and viewers read.
func authorize(v auth.Verifier, role auth.Role, r *http.Request) (auth.Principal, error) {
	p, err := v.Identify(r)
	if err != nil {
		return p, err
	}
	if p.Role == auth.RoleOperator || p.Role == auth.RoleViewer && role == auth.RoleViewer {
		return p, nil
	}
	return p, verdict.New(verdict.NotRun, http.StatusForbidden, "%s has role %s; this needs role %s", p.Name, p.Role, role)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body is larger than %d bytes", maxBodyBytes)
	}
	return body, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest)
}

// decode reads the body as exactly one JSON value without unknown fields.
func (c call) decode(into any) error {
	d := json.NewDecoder(bytes.NewReader(c.body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "body: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "body: expected one JSON value, found more")
	}
	return nil
}

// number reads a query parameter that is a whole number, 0 or greater.
func (c call) number(name string, absent int64) (int64, error) {
	text := c.request.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, verdict.New(verdict.NotRun, http.StatusBadRequest, "query parameter %s = %q: expected a whole number, 0 or greater", name, text)
	}
	return n, nil
}

// operation returns the id under which a repeat of the edit is recognized.
func (c call) operation() string {
	if id := c.request.Header.Get(request.HeaderIdempotencyKey); id != "" {
		return id
	}
	return rand.Text()
}
