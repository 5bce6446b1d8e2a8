package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"samphirepoint/request"
	"samphirepoint/sleep"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

const (
	// clientRounds is the number of times that all entries are tried, with doubling pauses.
	clientRounds = 3
	clientPause  = 250 * time.Millisecond
	// clientReadTimeout and clientWriteTimeout bound one attempt. An entry answers a write within
	// tableTimeout; a read that takes long is better sent to another entry.
	clientReadTimeout  = 6 * time.Second
	clientWriteTimeout = tableTimeout + 3*time.Second
	// maxClientReplyBytes bounds replies; 100 history records with long changes take a few MB.
	maxClientReplyBytes = 32 << 20
)

// Client calls the admin API through any of several entries.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
	pause     time.Duration
}

// NewClient returns a client of the entries at the addresses, host:port or a URL each. They are
// tried in turn. token is the bearer token of the operator.
func NewClient(addresses []string, token string, c *http.Client) *Client {
	bases := make([]string, len(addresses))
	for i, a := range addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		bases[i] = strings.TrimRight(a, "/")
	}
	return &Client{addresses: bases, token: token, http: c, pause: clientPause}
}

// Error is a refusal by an entry. The client's errors carry the verdict NotRun if the request had no effect.
type Error struct {
	Status int
	Body   ErrorBody
	// MayHaveRun reports that an attempt may have taken effect: this one, or an earlier one that
	// got no reply.
	MayHaveRun bool
}

// Error returns the entry's message.
func (e *Error) Error() string {
	text := e.Body.Error
	if text == "" {
		text = http.StatusText(e.Status)
	}
	if e.MayHaveRun {
		text += "\nan attempt got no clear answer and may have taken effect; look at the draft and the history"
	}
	return text
}

// classify gives the refusal the verdict over all attempts.
func (e *Error) classify(mayHaveRun bool) error {
	e.MayHaveRun = mayHaveRun
	if mayHaveRun {
		return verdict.Wrap(e, verdict.MayHaveRun, e.Status)
	}
	return verdict.Wrap(e, verdict.NotRun, e.Status)
}

// Table returns the accepted document.
func (c *Client) Table(ctx context.Context) (*table.Document, error) {
	var d table.Document
	return &d, c.json(ctx, http.MethodGet, PathTable, "", nil, &d)
}

// Draft returns the draft with its document.
func (c *Client) Draft(ctx context.Context) (*DraftReply, error) {
	var d DraftReply
	return &d, c.json(ctx, http.MethodGet, PathTableDraft, "", nil, &d)
}

// Diff returns the draft without its document.
func (c *Client) Diff(ctx context.Context) (*DraftReply, error) {
	var d DraftReply
	return &d, c.json(ctx, http.MethodGet, PathTableDiff, "", nil, &d)
}

// SetCells makes edits in the draft. An attempt with a lost reply is repeated with the same
// operation id, so the edits are made once.
func (c *Client) SetCells(ctx context.Context, edits []table.Edit) (*DraftReply, error) {
	body, err := json.Marshal(edits)
	if err != nil {
		return nil, err
	}
	var d DraftReply
	return &d, c.json(ctx, http.MethodPut, PathTableDraft, rand.Text(), body, &d)
}

// Discard removes the draft that the caller saw.
func (c *Client) Discard(ctx context.Context, seen table.DraftRef) error {
	path := fmt.Sprintf("%s?draft=%d&base=%d", PathTableDraft, seen.Draft, seen.Base)
	return c.json(ctx, http.MethodDelete, path, "", nil, &struct{}{})
}

// Accept puts the draft in force. An attempt with a lost reply is repeated with the same
// operation id, through another entry if there is one. NewOperation makes an id.
func (c *Client) Accept(ctx context.Context, body AcceptBody) (*AcceptReply, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	var r AcceptReply
	return &r, c.json(ctx, http.MethodPost, PathTableAccept, "", data, &r)
}

// NewOperation returns a new operation id.
func NewOperation() string { return rand.Text() }

// History returns up to limit records below version before, newest first; 0 means the entry's defaults.
func (c *Client) History(ctx context.Context, before int64, limit int) ([]table.Record, error) {
	q := url.Values{}
	if before > 0 {
		q.Set("before", strconv.FormatInt(before, 10))
	}
	if limit > 0 {
		q.Set("limit", strconv.Itoa(limit))
	}
	var records []table.Record
	err := c.json(ctx, http.MethodGet, PathTableHistory+"?"+q.Encode(), "", nil, &records)
	return records, err
}

// Rollout returns the version of each entry.
func (c *Client) Rollout(ctx context.Context) (*RolloutReply, error) {
	var r RolloutReply
	return &r, c.json(ctx, http.MethodGet, PathTableRollout, "", nil, &r)
}

// ExportCSV returns the accepted document, or the draft, as CSV.
func (c *Client) ExportCSV(ctx context.Context, draft bool) ([]byte, error) {
	return c.try(ctx, http.MethodGet, PathTableCSV+"?draft="+strconv.FormatBool(draft), "", nil)
}

// ImportCSV turns a CSV file into edits of the draft.
func (c *Client) ImportCSV(ctx context.Context, data []byte) (*DraftReply, error) {
	var d DraftReply
	return &d, c.json(ctx, http.MethodPut, PathTableCSV, rand.Text(), data, &d)
}

func (c *Client) json(ctx context.Context, method, path, operation string, body []byte, into any) error {
	data, err := c.try(ctx, method, path, operation, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("answer to %s %s: %w", method, path, err)
	}
	return nil
}

// try sends the request to one entry after the other until one answers with something else than
// an outage. Every request of this client may be repeated: writes carry an operation id or the
// versions they apply to.
func (c *Client) try(ctx context.Context, method, path, operation string, body []byte) ([]byte, error) {
	var failures []error
	mayHaveRun := false
	for round := range clientRounds {
		if round > 0 && sleep.Context(ctx, c.pause<<(round-1)) != nil {
			break
		}
		failures = failures[:0]
		for _, address := range c.addresses {
			data, err := c.attempt(ctx, method, address+path, operation, body)
			if err == nil {
				return data, nil
			}
			unclear := method != http.MethodGet && !verdict.Is(err, verdict.NotRun)
			mayHaveRun = mayHaveRun || unclear
			var refusal *Error
			if errors.As(err, &refusal) && !isOutage(refusal.Status) {
				return nil, refusal.classify(mayHaveRun)
			}
			failures = append(failures, fmt.Errorf("%s: %w", address, err))
		}
	}
	err := fmt.Errorf("no entry could do this:\n%w", errors.Join(failures...))
	if mayHaveRun {
		return nil, verdict.Wrap(fmt.Errorf("%w\nthe request may have taken effect; look at the draft and the history", err), verdict.MayHaveRun, http.StatusServiceUnavailable)
	}
	return nil, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable)
}

func isOutage(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// attempt returns an *Error with the verdict of the entry, or an error of the connection, which has the verdict
// NotRun only if no connection was made.
func (c *Client) attempt(ctx context.Context, method, target, operation string, body []byte) ([]byte, error) {
	timeout := clientWriteTimeout
	if method == http.MethodGet {
		timeout = clientReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if operation != "" {
		req.Header.Set(request.HeaderIdempotencyKey, operation)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if verdict.NeverSent(err) {
			return nil, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable)
		}
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxClientReplyBytes))
	if err != nil || resp.StatusCode == http.StatusOK {
		return data, err
	}
	refusal := &Error{Status: resp.StatusCode}
	// A body of another form, for instance from a balancer, leaves the status text as message.
	_ = json.Unmarshal(data, &refusal.Body)
	v, _ := verdict.Parse(resp.Header.Get(request.HeaderVerdict))
	return nil, verdict.Wrap(refusal, v, resp.StatusCode)
}
