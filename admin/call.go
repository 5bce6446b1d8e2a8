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

// call is an authenticated request with its size-limited body.
type call struct {
	ctx      context.Context
	request  *http.Request
	operator string
	body     []byte
}

// rawReply is a reply that is not encoded as JSON.
type rawReply struct {
	contentType string
	data        []byte
}

// newHandler returns a handler that authorizes the request, limits its body and duration, and writes the reply. It logs
// completed changes and the errors of handle with the operator's name. kind names the group of routes in these messages.
func newHandler(v auth.Verifier, log zerolog.Logger, kind string, role auth.Role, handle func(call) (any, error)) http.HandlerFunc {
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
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), requestTimeout)
		defer cancel()
		reply, err := handle(call{ctx: ctx, request: r, operator: principal.Name, body: body})
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

// authorize identifies the caller and checks its role: operators may call all routes, viewers only those that require the
// viewer role.
func authorize(v auth.Verifier, role auth.Role, r *http.Request) (auth.Principal, error) {
	p, err := v.Identify(r)
	if err != nil {
		return p, err
	}
	if p.Role == auth.RoleOperator || p.Role == auth.RoleViewer && role == auth.RoleViewer {
		return p, nil
	}
	return p, verdict.New(verdict.NotRun, http.StatusForbidden, "%s has role %s; this request needs role %s", p.Name, p.Role, role)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body is larger than %d bytes", maxBodyBytes)
	}
	return body, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest)
}

// decode decodes the body, which must hold exactly one JSON value without unknown fields.
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

// queryInt parses a query parameter as a non-negative integer, or returns absent if it is missing.
func (c call) queryInt(name string, absent int64) (int64, error) {
	text := c.request.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, verdict.New(verdict.NotRun, http.StatusBadRequest, "query parameter %s = %q: expected a non-negative integer", name, text)
	}
	return n, nil
}

// idempotencyKey returns the idempotency key of the request, by which a resubmission is detected, or a random one.
func (c call) idempotencyKey() string {
	if id := c.request.Header.Get(request.HeaderIdempotencyKey); id != "" {
		return id
	}
	return rand.Text()
}
