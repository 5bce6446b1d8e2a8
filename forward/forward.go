// Package forward carries requests between entries: Client sends a request to another entry
// and Options reads what Client sent. The receiving side runs the same filters as for callers.
package forward

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"samphirepoint/dispatch"
	"samphirepoint/filter"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// Path of forwarded requests; {queue} is the queue's name.
const Path = "/peer/forward/{queue}/requests"

// CancelPath of cancels passed on to the owner of a request.
const CancelPath = "/peer/cancel/{id}"

// NoticePath tells the owner of a pool of a new or changed job.
const NoticePath = "/peer/jobs/{id}"

const (
	headerNoWait = "Samphire-No-Wait"
	headerAttach = "Samphire-Attach"
	// silenceBeforePing is the time without an answer after which the other entry is pinged.
	silenceBeforePing = 500 * time.Millisecond
	// checkIntervalMax bounds the time between checks that the other entry still knows a request. Before, a check follows
	// when half of the time that the forward has taken has passed again: a lost answer to short work is noticed
	// within 2 s (design page, section 6), and long work costs few checks.
	checkIntervalMax = 5 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 8 << 20
	// errorBytes bounds the text of a refusal.
	errorBytes = 64 << 10
)

// Peers is what the client needs to know of other entries.
type Peers interface {
	// BaseURL returns the peer address of an entry, such as http://127.0.0.1:7101.
	BaseURL(entryID string) (string, bool)
	// Token authenticates this entry.
	Token() string
	// Self is the id of this entry.
	Self() string
	// Ping reports whether the entry answers within 500 ms.
	Ping(ctx context.Context, entryID string) bool
}

// Client forwards requests.
type Client struct {
	peers Peers
	http  *http.Client
}

// NewClient returns a client that uses transport for connections to other entries.
func NewClient(p Peers, transport http.RoundTripper) *Client {
	return &Client{peers: p, http: &http.Client{Transport: transport}}
}

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error string `json:"error"`
}

// Forward implements filter.Forwarder.
func (c *Client) Forward(fc *filter.Context, to filter.Target, o filter.ForwardOptions) (*filter.Answer, error) {
	base, ok := c.peers.BaseURL(to.ID)
	if !ok {
		return nil, unreachable(fmt.Errorf("address of entry %s is not known", to.ID), verdict.NotRun)
	}
	ctx, cancel := context.WithCancelCause(fc.Ctx)
	defer cancel(nil)
	var wrote atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }})
	req, err := c.newRequest(traced, fc, base, o)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusInternalServerError)
	}
	stop := c.watch(ctx, cancel, to.ID, fc.Request.ID)
	defer stop()
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.transportError(fc, err, wrote.Load())
	}
	defer resp.Body.Close()
	return c.read(fc, resp)
}

func (c *Client) newRequest(ctx context.Context, fc *filter.Context, base string, o filter.ForwardOptions) (*http.Request, error) {
	r := fc.Request
	target := base + strings.Replace(Path, "{queue}", url.PathEscape(r.Queue), 1)
	// The body is hidden from net/http so that it never repeats the request by itself.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	h := req.Header
	h.Set("Authorization", "Bearer "+c.peers.Token())
	h.Set(request.HeaderRequestID, r.ID)
	h.Set(request.HeaderBacker, r.Backer)
	h.Set(request.HeaderPool, o.Pool)
	h.Set(request.HeaderHops, strconv.Itoa(r.Hops+1))
	h.Set(request.HeaderVisited, strings.Join(append(r.Visited[:len(r.Visited):len(r.Visited)], c.peers.Self()), ","))
	h.Set(request.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	h.Set(request.HeaderDeadline, deadlineThere(time.Until(r.Deadline)).String())
	setIf(h, request.HeaderIdempotencyKey, r.Key)
	setIf(h, request.HeaderKind, r.Kind)
	setIf(h, request.HeaderClass, r.Class.String())
	setIf(h, "Content-Type", r.ContentType)
	if !r.KeyIssued.IsZero() {
		h.Set(request.HeaderIdempotencyIssued, r.KeyIssued.Format(time.RFC3339Nano))
	}
	if o.NoWait {
		h.Set(headerNoWait, "true")
	}
	if o.Attach {
		h.Set(headerAttach, "true")
	}
	return req, nil
}

// answerMargin is the part of a deadline, one in so many, and maxAnswerMargin the longest time that a forwarded request is
// cut short, so that the owner's verdict on a request whose deadline passed arrives before the deadline here.
const (
	answerMargin    = 10
	maxAnswerMargin = 100 * time.Millisecond
)

// deadlineThere is the deadline of a request at the entry that it is forwarded to.
func deadlineThere(left time.Duration) time.Duration {
	return max(left-min(left/answerMargin, maxAnswerMargin), time.Millisecond)
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// Options reads the options of a forwarded request into its context.
func Options(r *http.Request, c *filter.Context) {
	c.Forwarded = true
	c.NoWait = r.Header.Get(headerNoWait) == "true"
	c.Attach = r.Header.Get(headerAttach) == "true"
}

// errPeerSilent is the cause of a forward that was given up because the other entry does not answer pings.
var errPeerSilent = errors.New("entry does not answer")

// watch cancels the forward once the other entry does not answer a ping, or once it answers but no longer knows
// the request: then the answer was lost on a connection that went silent.
func (c *Client) watch(ctx context.Context, cancel context.CancelCauseFunc, entryID, requestID string) (stop func()) {
	done := make(chan struct{})
	started := time.Now()
	timer := time.AfterFunc(silenceBeforePing, func() {
		nextCheck := started.Add(2 * silenceBeforePing)
		for {
			if !c.peers.Ping(ctx, entryID) {
				cancel(errPeerSilent)
				return
			}
			if time.Now().After(nextCheck) {
				if known, err := c.knows(ctx, entryID, requestID); err == nil && !known {
					cancel(errPeerSilent)
					return
				}
				nextCheck = time.Now().Add(min(time.Since(started)/2, checkIntervalMax))
			}
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-time.After(silenceBeforePing):
			}
		}
	})
	return func() {
		close(done)
		timer.Stop()
	}
}

// knows asks whether the entry still works on a request. It is asked twice, since the answer may
// be under way when the first question arrives.
func (c *Client) knows(ctx context.Context, entryID, requestID string) (bool, error) {
	for try := 0; ; try++ {
		status, err := c.call(ctx, http.MethodGet, entryID, CancelPath, requestID)
		if err != nil || status != http.StatusNotFound {
			return true, err
		}
		if try > 0 {
			return false, nil
		}
		time.Sleep(silenceBeforePing)
	}
}

func (c *Client) transportError(fc *filter.Context, err error, wrote bool) error {
	if cause := context.Cause(fc.Ctx); cause != nil {
		if errors.Is(cause, context.DeadlineExceeded) {
			cause = errors.New("deadline passed")
		}
		if wrote {
			return verdict.Wrap(cause, verdict.MayHaveRun, http.StatusGatewayTimeout)
		}
		return verdict.Wrap(cause, verdict.NotRun, http.StatusGatewayTimeout)
	}
	if !wrote || verdict.NeverSent(err) {
		return unreachable(err, verdict.NotRun)
	}
	return unreachable(err, verdict.MayHaveRun)
}

func unreachable(err error, v verdict.Verdict) error {
	return verdict.Wrap(fmt.Errorf("%w: %v", filter.ErrUnreachable, err), v, http.StatusBadGateway)
}

// read checks that the answer is whole and of this request. Refusals carry the other entry's verdict.
func (c *Client) read(fc *filter.Context, resp *http.Response) (*filter.Answer, error) {
	limit := int64(maxAnswerBytes)
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, unreachable(err, verdict.MayHaveRun)
	}
	if id := resp.Header.Get(request.HeaderRequestID); id != fc.Request.ID {
		return nil, unreachable(fmt.Errorf("answer is for request %q", id), verdict.MayHaveRun)
	}
	if hash := resp.Header.Get(request.HeaderBodyHash); hash != request.BodyHash(body) {
		return nil, unreachable(fmt.Errorf("answer has body hash %q", hash), verdict.MayHaveRun)
	}
	if resp.Header.Get(HeaderRefusal) == "true" {
		return nil, refusal(resp, body)
	}
	return &filter.Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		Worker:      resp.Header.Get(request.HeaderWorker),
		Replayed:    resp.Header.Get(request.HeaderReplayed) == "true",
	}, nil
}

// HeaderRefusal marks an answer that an entry made itself, as opposed to a worker's.
const HeaderRefusal = "Samphire-Refusal"

func refusal(resp *http.Response, body []byte) error {
	v, err := verdict.Parse(resp.Header.Get(request.HeaderVerdict))
	if err != nil {
		v = verdict.MayHaveRun
	}
	var e errorBody
	if json.Unmarshal(body[:min(len(body), errorBytes)], &e) != nil || e.Error == "" {
		e.Error = resp.Status
	}
	refused := errors.New(e.Error)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		refused = fmt.Errorf("%w: %s", dispatch.ErrNotOwner, e.Error)
	}
	result := verdict.Wrap(refused, v, resp.StatusCode)
	return verdict.WithRetryAfterHeader(result, resp.Header)
}

// Cancel asks an entry to cancel a request; it reports whether the entry knew it.
func (c *Client) Cancel(ctx context.Context, entryID, requestID string) (bool, error) {
	status, err := c.call(ctx, http.MethodPost, entryID, CancelPath, requestID)
	return err == nil && status == http.StatusNoContent, err
}

// Notify tells an entry of a new or changed job.
func (c *Client) Notify(ctx context.Context, entryID, jobID string) error {
	_, err := c.call(ctx, http.MethodPost, entryID, NoticePath, jobID)
	return err
}

// callTimeout bounds short calls between entries.
const callTimeout = time.Second

func (c *Client) call(ctx context.Context, method, entryID, path, id string) (status int, err error) {
	base, ok := c.peers.BaseURL(entryID)
	if !ok {
		return 0, fmt.Errorf("address of entry %s is not known", entryID)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := base + strings.Replace(path, "{id}", url.PathEscape(id), 1)
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+c.peers.Token())
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, errorBytes))
	return resp.StatusCode, err
}

// DemandPath tells the lease holder the demand per queue at an entry.
const DemandPath = "/peer/demand"

// Demand asks an entry for its demand in slots per queue.
func (c *Client) Demand(ctx context.Context, entryID string) (map[string]float64, error) {
	base, ok := c.peers.BaseURL(entryID)
	if !ok {
		return nil, fmt.Errorf("address of entry %s is not known", entryID)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+DemandPath, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.peers.Token())
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("demand of entry %s: status %d", entryID, resp.StatusCode)
	}
	var demand map[string]float64
	err = json.NewDecoder(io.LimitReader(resp.Body, errorBytes)).Decode(&demand)
	return demand, err
}
