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
	// clientPasses is the number of passes over all entries. The backoff between two passes starts at clientBackoff and doubles.
	clientPasses  = 3
	clientBackoff = 250 * time.Millisecond
	// clientReadTimeout and clientWriteTimeout limit one attempt. An entry replies to a write within requestTimeout; a slow
	// read is better retried at another entry.
	clientReadTimeout  = 6 * time.Second
	clientWriteTimeout = requestTimeout + 3*time.Second
	// maxClientReplyBytes limits replies; 100 history records with long changes take a few MB.
	maxClientReplyBytes = 32 << 20
)

// Client calls the admin API through any of several entries.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
	backoff   time.Duration
}

// NewClient returns a client for the entries at the addresses, each a host:port or a URL. They are tried in order. token is
// the operator's bearer token.
func NewClient(addresses []string, token string, c *http.Client) *Client {
	bases := make([]string, len(addresses))
	for i, a := range addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		bases[i] = strings.TrimRight(a, "/")
	}
	return &Client{addresses: bases, token: token, http: c, backoff: clientBackoff}
}

// Error is an error reply from an entry. The client's errors carry the verdict NotRun if the request had no effect.
type Error struct {
	Status int
	Body   ErrorBody
	// MayHaveRun reports that an attempt may have taken effect: the one that received this reply, or an earlier one without
	// a reply.
	MayHaveRun bool
}

// Error returns the entry's message.
func (e *Error) Error() string {
	text := e.Body.Error
	if text == "" {
		text = http.StatusText(e.Status)
	}
	if e.MayHaveRun {
		text += "\nan attempt has an unknown outcome and may have taken effect; check the draft and the history"
	}
	return text
}

// classify wraps the error with the verdict over all attempts.
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
	return &d, c.doJSON(ctx, http.MethodGet, PathTable, "", nil, &d)
}

// Draft returns the draft with its document.
func (c *Client) Draft(ctx context.Context) (*DraftReply, error) {
	var d DraftReply
	return &d, c.doJSON(ctx, http.MethodGet, PathTableDraft, "", nil, &d)
}

// Diff returns the draft without its document.
func (c *Client) Diff(ctx context.Context) (*DraftReply, error) {
	var d DraftReply
	return &d, c.doJSON(ctx, http.MethodGet, PathTableDiff, "", nil, &d)
}

// SetCells applies edits to the draft. An attempt with a lost reply is retried with the same operation id, so the edits are
// applied once.
func (c *Client) SetCells(ctx context.Context, edits []table.Edit) (*DraftReply, error) {
	body, err := json.Marshal(edits)
	if err != nil {
		return nil, err
	}
	var d DraftReply
	return &d, c.doJSON(ctx, http.MethodPut, PathTableDraft, rand.Text(), body, &d)
}

// Discard removes the referenced draft. A draft that has changed since is kept.
func (c *Client) Discard(ctx context.Context, ref table.DraftRef) error {
	path := fmt.Sprintf("%s?draft=%d&base=%d", PathTableDraft, ref.Draft, ref.Base)
	return c.doJSON(ctx, http.MethodDelete, path, "", nil, &struct{}{})
}

// Accept makes the draft the version in force. An attempt with a lost reply is retried with the same operation id, through
// another entry if there is one. NewOperation returns a suitable id.
func (c *Client) Accept(ctx context.Context, body AcceptBody) (*AcceptReply, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	var r AcceptReply
	return &r, c.doJSON(ctx, http.MethodPost, PathTableAccept, "", data, &r)
}

// NewOperation returns a random operation id.
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
	err := c.doJSON(ctx, http.MethodGet, PathTableHistory+"?"+q.Encode(), "", nil, &records)
	return records, err
}

// Rollout returns the table version of each entry.
func (c *Client) Rollout(ctx context.Context) (*RolloutReply, error) {
	var r RolloutReply
	return &r, c.doJSON(ctx, http.MethodGet, PathTableRollout, "", nil, &r)
}

// ExportCSV returns the accepted document, or the draft, as CSV.
func (c *Client) ExportCSV(ctx context.Context, draft bool) ([]byte, error) {
	return c.tryEntries(ctx, http.MethodGet, PathTableCSV+"?draft="+strconv.FormatBool(draft), "", nil)
}

// ImportCSV applies the edits in a CSV file to the draft.
func (c *Client) ImportCSV(ctx context.Context, data []byte) (*DraftReply, error) {
	var d DraftReply
	return &d, c.doJSON(ctx, http.MethodPut, PathTableCSV, rand.Text(), data, &d)
}

func (c *Client) doJSON(ctx context.Context, method, path, operation string, body []byte, into any) error {
	data, err := c.tryEntries(ctx, method, path, operation, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("reply to %s %s: %w", method, path, err)
	}
	return nil
}

// tryEntries sends the request to the entries in order until one replies with a status that does not indicate an outage. All
// requests of this client are safe to retry: writes carry an operation id or the versions they apply to.
func (c *Client) tryEntries(ctx context.Context, method, path, operation string, body []byte) ([]byte, error) {
	var failures []error
	mayHaveRun := false
	for pass := range clientPasses {
		if pass > 0 && sleep.Context(ctx, c.backoff<<(pass-1)) != nil {
			break
		}
		failures = failures[:0]
		for _, address := range c.addresses {
			data, err := c.sendOnce(ctx, method, address+path, operation, body)
			if err == nil {
				return data, nil
			}
			unknown := method != http.MethodGet && !verdict.Is(err, verdict.NotRun)
			mayHaveRun = mayHaveRun || unknown
			var rejection *Error
			if errors.As(err, &rejection) && !isOutage(rejection.Status) {
				return nil, rejection.classify(mayHaveRun)
			}
			failures = append(failures, fmt.Errorf("%s: %w", address, err))
		}
	}
	err := fmt.Errorf("no entry could process the request:\n%w", errors.Join(failures...))
	if mayHaveRun {
		return nil, verdict.Wrap(fmt.Errorf("%w\nthe request may have taken effect; check the draft and the history", err), verdict.MayHaveRun, http.StatusServiceUnavailable)
	}
	return nil, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable)
}

func isOutage(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// sendOnce sends the request once. It returns an *Error with the verdict of the entry, or a connection error, which has the
// verdict NotRun only if no connection was established.
func (c *Client) sendOnce(ctx context.Context, method, target, operation string, body []byte) ([]byte, error) {
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
	rejection := &Error{Status: resp.StatusCode}
	// If the body is not an ErrorBody, for instance one from a load balancer, the status text is the message.
	_ = json.Unmarshal(data, &rejection.Body)
	v, _ := verdict.Parse(resp.Header.Get(request.HeaderVerdict))
	return nil, verdict.Wrap(rejection, v, resp.StatusCode)
}
